//! The catalogue of log events.

use strum::{EnumIter, IntoStaticStr};
use tracing::Level;

macro_rules! events {
    ($($number:literal $level:ident $name:ident: $meaning:literal, $action:literal;)*) => {
        /// What a node logs, by number. Numbers are never given to another event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
        #[strum(serialize_all = "kebab-case")]
        pub enum Event {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl Event {
            /// Level that it is logged at.
            pub const fn level(self) -> Level {
                match self {
                    $(Event::$name => Level::$level,)*
                }
            }

            /// What has happened.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Event::$name => $meaning,)*
                }
            }

            /// What an operator does about it.
            pub const fn action(self) -> &'static str {
                match self {
                    $(Event::$name => $action,)*
                }
            }
        }
    };
}

events! {
    101 INFO NodeStarted: "the node listens; it takes calls once a configuration is in force", "nothing";
    102 INFO NodeReady: "a configuration is in force and calls are taken", "nothing";
    103 INFO DrainBegun: "the node takes nothing new and finishes what is in flight", "nothing; somebody asked for it";
    104 INFO DrainFinished: "nothing is in flight any more; the node leaves", "nothing";
    105 ERROR DrainLimitReached: "the drain limit has passed with calls still in flight; their callers may see unknown outcomes", "raise drain_limit_ms above the longest patience; look for a hanging upstream";
    106 ERROR NodeFailed: "the node ends because a listener or its start failed", "read the error; check addresses and that no other process holds them";
    107 INFO SettingsReloaded: "the settings were read again: those in adjusted are in force, those in deferred hold from the next start on", "start the node again if a setting in deferred has changed";
    108 ERROR SettingsFaulty: "the settings were read again and cannot be used; those before stay in force", "read the faults and mend the settings file";
    109 WARN RequestEndedByLimit: "the drain limit came while a request waited; its caller was told what was known by then", "look for the request on the node in sent_to, over the link to link_address; without sent_to it waited for its own body or between two sends";

    201 INFO UpstreamAnnounced: "the upstream beside the node has announced itself", "nothing";
    202 WARN UpstreamLapsed: "the upstream has not renewed its announcement", "look whether the upstream's process runs and reaches the node's control address";
    203 INFO UpstreamDraining: "the upstream drains: no new work goes to it", "nothing; somebody asked for it";
    204 ERROR UpstreamCrashed: "the connection to the upstream died while calls ran, and it no longer listens", "look at the upstream's own log; the calls that ran are suspects";
    205 ERROR RequestQuarantined: "a request that was running in repeated crashes is refused for a while", "find it by its fingerprint in status; mend the upstream or the caller";

    206 WARN AnnouncementMalformed: "a word of the upstream cannot be read or is of another service; it is passed over", "compare the versions of the upstream and the node";

    301 INFO ConfigurationInForce: "a newer generation decides about calls from now on", "nothing";
    302 ERROR ConfigurationUnreadable: "a stored generation cannot be read by this version of the node, which keeps the one before", "upgrade the node, or apply a document that all versions read";
    303 WARN PlatformLost: "the platform does not answer; calls go on with the configuration in force", "look at the platform; changes of the configuration have to wait";
    304 INFO PlatformBack: "the platform answers again", "nothing";
    305 ERROR RecordReplaced: "another start with this node's name has published itself", "two processes have the same --node, or this one was paused and replaced: stop one";
    306 INFO ConfigurationStored: "an operator's change is stored as a new generation", "nothing";
    307 ERROR PlatformUnreadable: "the platform answered something else than its interface says; the last good configuration stays in force", "read the detail; look what wrote the object";

    401 WARN LinkRefused: "a process opened a link and did not prove that it is a node of the fleet", "error says how far it came: closed before its proof, it may have meant another node; else compare the fleet keys of both nodes, and if the address is not a node's, look who it is";
    402 INFO LinkLost: "a link to another node broke; calls on it are resolved over a new one", "nothing unless it repeats: then look at the network between the two";
    403 WARN FrameMalformed: "a frame could not be read and its link was closed", "compare the versions of both nodes";
    404 INFO PeerLost: "another node no longer answers probes", "nothing unless many go at once: then look at their data centre";
    405 INFO PeerChanged: "what this node believes of another one, or of its upstream, has changed", "nothing; compare with the other node's own log";

    406 WARN LinkSilent: "the other end of a link gave no sign of life while calls waited on it; the link is closed", "nothing unless it repeats with the same peer: then look at it, and at the network between";

    407 WARN AnswerUndelivered: "an answer could not be given to the node that sent the call; it is kept until that node asks", "look for 402 or 406 of this node's incarnation on the other node; there the request's 711 tells what its caller got";
    408 WARN OtherNodeAtAddress: "another node than the one meant answers at its address", "nothing if the node meant is gone for good; else two nodes are configured with one address";
    409 WARN DatagramRefused: "a datagram of gossip could not prove the fleet key or be read, and was dropped", "compare the fleet keys and the versions of both nodes; if the address is not a node's, look who it is";

    501 WARN OperatorRefused: "an operators' call without the right token was refused", "if it was you, check the token; if not, look who asks";
    502 INFO OperatorCommand: "an operator's command is carried out", "nothing";

    601 INFO HandoverDone: "a successor has taken over this node's tickets", "nothing";
    602 WARN HandoverFailed: "no node took over the tickets; re-sends of their requests get unknown outcomes", "drain one node of a service at a time, with another one ready";
    603 INFO HandoverTaken: "this node has taken over another's tickets and is their home now", "nothing";
    604 WARN HandoverRefused: "a stopping node's tickets are not taken: too many, malformed, or this node stops itself", "nothing unless 602 follows on the stopping node";

    701 WARN SheddingBegun: "the upstream's queue stands and requests of the last class are refused", "look at status; add upstreams if it lasts";
    702 INFO SheddingEnded: "nothing is refused for load any more", "nothing";

    703 INFO CallsWait: "calls wait in front of the upstream", "nothing unless it lasts: compare in_flight with limit, and service_time_us with that of other nodes";

    711 INFO SendEnded: "a send of a call ended without an answer; what follows is in the field next", "look for the same request_id on the node in the field node; because names the limit that ended the sends";
    712 INFO CallRefused: "the node beside an upstream refused a call", "compare the reason with the numbers beside it";
    713 INFO RequestRefused: "a request ended where it entered without an answer of an upstream", "follow its request_id through 711 and 712";

    714 INFO AnsweredLate: "an answer left later than the operators' objective for its route", "follow its request_id to 715; the rest of the time went to earlier sends (711) and links";
    715 INFO RunLate: "a root request's wait and run took longer than was left of its objective", "compare queue_ms, own_ms and below_ms: look at load, at the upstream, or at the services below";

    721 ERROR RequestPanicked: "the work on a request met a fault of the node itself; its caller is told that its end is unknown", "report it with the lines about the panic on standard error";
    722 INFO RequestUnanswered: "a request that was read ended without an answer: its caller has gone, or its connection or the process has ended", "nothing where callers give up; with is_stopping, or beside a change, follow its request_id on all nodes";

    801 WARN CollectorLost: "spans cannot be exported; they are dropped and counted", "look at the collector; calls are not affected";
    802 INFO CollectorBack: "spans are exported again", "nothing";
}

impl Event {
    /// Its number in the catalogue.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

/// Logs an [`Event`] with fields of its own: `log_event!(Event::DrainBegun, in_flight_count = 3)`.
#[macro_export]
macro_rules! log_event {
    ($event:path $(, $($fields:tt)+)?) => {
        $crate::tracing::event!(
            $event.level(),
            number = $event.number(),
            $($($fields)+,)?
            "{}",
            $event.meaning()
        )
    };
}
