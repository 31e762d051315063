//! Catalogue of log events.

use strum::{EnumIter, IntoStaticStr};
use tracing::Level;

macro_rules! events {
    ($($number:literal $level:ident $name:ident: $meaning:literal, $action:literal;)*) => {
        /// Log event of a node. The number of an event is never reused for another one.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
        #[strum(serialize_all = "kebab-case")]
        pub enum Event {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl Event {
            /// Returns the level that the event is logged at.
            pub const fn level(self) -> Level {
                match self {
                    $(Event::$name => Level::$level,)*
                }
            }

            /// Returns what has happened.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Event::$name => $meaning,)*
                }
            }

            /// Returns what an operator should do about it.
            pub const fn action(self) -> &'static str {
                match self {
                    $(Event::$name => $action,)*
                }
            }
        }
    };
}

events! {
    101 INFO NodeStarted: "the node is listening; it accepts calls once a configuration is in force", "nothing";
    102 INFO NodeReady: "a configuration is in force and the node accepts calls", "nothing";
    103 INFO DrainBegun: "the node is draining: it accepts no new calls and finishes those in flight", "nothing; the drain was requested";
    104 INFO DrainFinished: "no calls are in flight any more; the node leaves the fleet", "nothing";
    105 ERROR DrainLimitReached: "the drain limit was reached with calls still in flight; their callers may see unknown outcomes", "raise drain_limit_ms above the longest patience_ms; check for an upstream that hangs";
    106 ERROR NodeFailed: "the node stops because a listener or its start failed", "read the error; check the addresses and that no other process uses them";
    107 INFO SettingsReloaded: "the settings were reloaded: those in adjusted are in force, those in deferred take effect at the next start", "restart the node if a setting in deferred has changed";
    108 ERROR SettingsFaulty: "the settings were reloaded but are invalid; the previous ones stay in force", "read the errors and correct the settings file";
    109 WARN RequestEndedByLimit: "the drain limit was reached while a request was waiting; its caller was told what was known by then", "find the request on the node in sent_to, over the link to link_address; without sent_to it was waiting for its own body or between two sends";

    201 INFO UpstreamAnnounced: "the upstream of this node has announced itself", "nothing";
    202 WARN UpstreamLapsed: "the upstream has not renewed its announcement", "check that the upstream's process is running and reaches the node's control address";
    203 INFO UpstreamDraining: "the upstream is draining: it gets no new work", "nothing; the drain was requested";
    204 ERROR UpstreamCrashed: "the connection to the upstream broke while calls were running, and the upstream no longer listens", "check the upstream's own log; the calls that were running may have caused the crash";
    205 ERROR RequestQuarantined: "a request that was running in repeated crashes is refused for a limited time", "find it by its fingerprint in status; fix the upstream or the caller";

    206 WARN AnnouncementMalformed: "a message of the upstream cannot be read or is of another service; it is ignored", "compare the versions of the upstream and the node";

    207 INFO UpstreamNamedRateLimit: "the upstream limits the calls that it accepts per second, or has changed that limit", "nothing: calls go to other upstreams; if those of a whole service name limits, add upstreams";
    208 INFO UpstreamRateLimitEnded: "the upstream no longer limits the calls that it accepts per second", "nothing";
    209 INFO UpstreamNamedDeparture: "the upstream is leaving, by an answer of its own or by what another node has passed on", "nothing; 203 follows";
    210 WARN UpstreamNoticeMalformed: "an answer names a rate limit or a departure that cannot be read; nothing is taken from it", "compare the value with the interface of the upstream";
    211 WARN UpstreamLoadMalformed: "a load report of the upstream cannot be read and is ignored", "compare the value with the interface of the upstream";
    212 WARN ForeignAnswer: "the upstream sent an answer that names another request, or none, where this request's was expected; whether this request ran is unknown", "look for answered_id on this node: an answer that came twice or late is a fault of the upstream";
    213 INFO UpstreamRejected: "the upstream answered that it has not run the request, which is believed", "nothing; if the upstream says that it ran the request, compare elapsed_us with the time that the upstream needs to read one, and earlier_requests with those of other lines";

    301 INFO ConfigurationInForce: "a newer generation of the configuration is in force", "nothing";
    302 ERROR ConfigurationUnreadable: "this version of the node cannot read a stored generation and keeps the previous one", "upgrade the node, or apply a document that all versions can read";
    303 WARN PlatformLost: "the platform does not respond; calls continue with the configuration in force", "check the platform; configuration changes are not possible until it responds";
    304 INFO PlatformBack: "the platform responds again", "nothing";
    305 ERROR RecordReplaced: "another start has this node's name, or its record does; this node stops if that start answers by gossip, and replaces the record otherwise", "two processes have the same --node, or this one was paused and replaced: stop one of them; otherwise find out what wrote the record";
    306 INFO ConfigurationStored: "an operator's change was stored as a new generation", "nothing";
    307 ERROR PlatformUnreadable: "a response of the platform does not conform to its interface; the last valid configuration stays in force", "read the detail; find out what wrote the object";
    308 WARN KeysNotAdmitted: "the node cannot prove that its configuration is recent enough; it refuses requests with keys and reports itself as not ready", "check whether the node reaches the platform and other nodes; 309 follows once it does";
    309 INFO KeysAdmitted: "the configuration is proved to be recent again; requests with keys are admitted", "nothing";
    310 INFO ConfigurationReceived: "a newer generation of the configuration has arrived; source says from where, and revision is the store's that this node knew then", "nothing; 301 follows, or 302";
    311 INFO StoreWatchChanged: "this node has begun or ceased to watch the configuration in the platform's store; others_refused counts the other nodes of the data centre that the store refuses", "nothing; the live nodes of a data centre with is_watching should be two, or more for a moment after the store has refused some";
    312 WARN StoreReadFailed: "a read or a watch of the configuration ended without a valid answer of the platform's store", "read the error; if it repeats on the watching nodes of a data centre while others are answered, compare the ways to the store";
    313 WARN StoreReturned: "the platform's store answers in another era than before, so it has come back from a copy; the configuration is read again, and no revision from before is used", "nothing; if changes of the last seconds before the return are missing, apply them again";
    314 ERROR StoreEraDoubtful: "an answer of the platform's store names no era or a smaller one than before; what was read is read again", "find out what answers in place of the store, such as a proxy";
    315 INFO StoreContactChanged: "the platform's store has begun to serve this node or to refuse it, or is no longer asked (unknown)", "if contact is refused, compare the ways to the store with those of the other nodes; they watch in place of this one";

    401 WARN LinkRefused: "a process opened a link and did not prove that it is a node of the fleet", "error says how far it got: if it closed the link before its proof, it may have meant another node; otherwise compare the fleet keys of both nodes, and if the address is not a node's, find out whose it is";
    402 INFO LinkLost: "a link to another node was lost; its calls are resolved over a new one", "nothing unless it repeats: then check the network between the two nodes";
    403 WARN FrameMalformed: "a frame could not be decoded and its link was closed", "compare the versions of both nodes";
    404 INFO PeerLost: "another node no longer responds to probes", "nothing unless many are lost at once: then check their data centre";
    405 INFO PeerChanged: "this node's view of another node, or of that node's upstream, has changed", "nothing; compare with the other node's own log";

    406 WARN LinkSilent: "the other end of a link showed no sign of life while calls were waiting on it; the link is closed", "nothing unless it repeats with the same peer: then check that node and the network between";

    407 WARN AnswerUndelivered: "an answer could not be delivered to the node that sent the call; it is kept until that node asks for it", "look for 402 or 406 with this node's incarnation on the other node; there 711 of the request shows what its caller got";
    408 WARN OtherNodeAtAddress: "a node other than the expected one answers at its address", "nothing if the expected node is gone for good; otherwise two nodes are configured with the same address";
    409 WARN DatagramRefused: "a gossip datagram could not be authenticated with the fleet key or decoded, and was dropped", "compare the fleet keys and the versions of both nodes; if the address is not a node's, find out whose it is";

    410 INFO CancelledWithoutLink: "a call that nobody waits for any longer was cancelled while the link to its receiver was down", "nothing; 725 follows on the receiver once a link to it is open";

    501 WARN OperatorRefused: "an operator request without a valid token was refused", "if it was yours, check the token; if not, find out who sent it";
    502 INFO OperatorCommand: "an operator's command is being executed", "nothing";

    601 INFO HandoverDone: "a successor has taken over this node's tickets", "nothing";
    602 WARN HandoverFailed: "no node took over the tickets; requests sent again with them get unknown outcomes", "drain one node of a service at a time, while another one is ready";
    603 INFO HandoverTaken: "this node has taken over another node's tickets and is now their home", "nothing";
    604 WARN HandoverRefused: "the tickets of a stopping node were refused: too many, malformed, or this node is stopping itself", "nothing unless 602 follows on the stopping node";

    701 WARN SheddingBegun: "the upstream has a standing queue, and requests of the last class are refused", "check status; add upstreams if it lasts";
    702 INFO SheddingEnded: "no request is refused because of load any more", "nothing";

    703 INFO CallsWait: "calls are waiting for the upstream", "nothing unless it lasts: compare in_flight with limit, and service_time_us with that of other nodes";

    704 WARN BodyRefused: "there was no memory for the body of a request or an answer until its wait ended", "nothing unless it lasts: compare held_bytes with budget_bytes; give the node more memory, or lower the limits of bodies";
    705 INFO BodyDisplaced: "the sender of a large body stood still while other bodies waited for memory; its request was turned away", "nothing unless it repeats: look for a slow caller";

    711 INFO SendEnded: "a send of a call ended without an answer; next says what follows", "look for the same request_id on the node in the field node; because names the limit that ended the sends";
    712 INFO CallRefused: "the node of an upstream refused a call", "compare the reason with the values of the other fields";
    713 INFO RequestRefused: "a request ended at its entry node without an answer from an upstream", "follow its request_id through 711 and 712";

    714 INFO AnsweredLate: "an answer was sent later than the operators' objective for its route", "follow its request_id to 715; the rest of the time was spent on earlier sends (711) and links";
    715 INFO RunLate: "waiting and running a root request took longer than was left of its objective", "compare queue_ms, own_ms and below_ms: check the load, the upstream, or the services that it calls";
    716 INFO KeyRefused: "a request was refused because of its key; proof_age_ms is the time since the generation was proved to be the newest one", "for key-unknown and key-required check the caller's key against the accounts of this generation; for configuration-stale see 308";
    717 INFO QuotaRefused: "a request was refused because of its client account's quota, or because no node could say what is left of it", "compare the account's quota with its demand; for quota-unknown look for 404 and 406 about the account's grantor";

    721 ERROR RequestPanicked: "a bug of the node interrupted the work on a request; its caller is told that the outcome is unknown", "report it together with the panic message on standard error";
    722 INFO RequestUnanswered: "a request that had been read ended without an answer: its caller has disconnected, or its connection or the process has ended; phase says where it was", "nothing if callers give up; with is_stopping, or during a change, follow its request_id on all nodes; the node in sent_to was told, see its 725";
    723 INFO ResponseUnsent: "a response was ready, but its connection ended before all of it was written", "nothing if callers give up; with is_stopping, compare its time with 104 and 105 of this node";

    725 INFO CallCancelled: "the node that sent a call no longer waits for it; phase says where the call was", "nothing if callers give up; with was_started_late it reached the upstream after its caller had left: compare with 722 of its entry node, and look for 402, 406 and 410 between the two";

    731 WARN RetriesScarce: "more calls to a service failed than its share of retries can repeat; only the requests nearest to completion of the more important classes still get retries", "compare failed_share with the upstreams named in 711: if all of them fail calls, mend the service; if one does, replace it";
    732 INFO RetriesSuffice: "every call to a service that failed in the last seconds got the retries that it needed", "nothing";

    801 WARN CollectorLost: "spans cannot be exported; they are dropped and counted", "check the collector; calls are not affected";
    802 INFO CollectorBack: "spans are exported again", "nothing";
}

impl Event {
    /// Returns the number of the event.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

/// Logs an [`Event`] with additional fields: `log_event!(Event::DrainBegun, in_flight_count = 3)`.
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
