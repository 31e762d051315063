//! Detection of links whose peer no longer responds.

use std::time::{Duration, Instant};

use hemlocktack_decide::{LinkAction, LinkMonitor, LinkMonitorPolicy};

/// Advances the time step by step. `heard_at` returns when data was last received on the link,
/// echoes included, given the times of the echo requests so far. Returns the times of the echo
/// requests and when the link counts as lost, in milliseconds.
fn watch(heard_at: impl Fn(&[u64]) -> Option<u64>, until_ms: u64) -> (Vec<u64>, Option<u64>) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut watch = LinkMonitor::new(LinkMonitorPolicy::default());
    let mut echo_requests = Vec::new();
    let mut now_ms = 0;
    while now_ms <= until_ms {
        let heard_ms = heard_at(&echo_requests).filter(|heard_ms| *heard_ms <= now_ms);
        let next = match watch.check(at(heard_ms.unwrap_or(0)), at(now_ms)) {
            LinkAction::Lost => return (echo_requests, Some(now_ms)),
            LinkAction::Wait(until) => until,
            LinkAction::RequestEcho(until) => {
                echo_requests.push(now_ms);
                until
            }
        };
        now_ms = (next - start).as_millis() as u64;
    }
    (echo_requests, None)
}

/// The peer loses power during a call. The caller must not wait for its full timeout: the loss
/// is detected within half a second, early enough to use another node.
#[test]
fn a_silent_peer_is_noticed_within_half_a_second() {
    let (echo_requests, lost) = watch(|_| None, 10_000);
    assert_eq!(echo_requests, [150]);
    assert_eq!(lost, Some(420));
}

/// The upstream takes seconds for one call while its node is healthy: the node answers each echo
/// request, so the call continues.
#[test]
fn a_slow_upstream_of_a_responsive_node_does_not_lose_the_link() {
    let echoed =
        |echo_requests: &[u64]| echo_requests.last().map(|echo_requests| echo_requests + 2);
    let (echo_requests, lost) = watch(echoed, 10_000);
    assert_eq!(lost, None);
    assert!(echo_requests.len() > 20, "{echo_requests:?}");
}

/// One packet is lost and arrives with the retransmission 200 ms later.
#[test]
fn one_lost_packet_does_not_lose_the_link() {
    let late = |echo_requests: &[u64]| {
        echo_requests
            .last()
            .map(|echo_requests| echo_requests + 210)
    };
    assert_eq!(watch(late, 5_000).1, None);
}

/// This node was suspended for seconds; the echo received meanwhile is read only after the first
/// check.
#[test]
fn unread_data_is_considered_before_a_link_is_lost() {
    let start = Instant::now();
    let mut watch = LinkMonitor::new(LinkMonitorPolicy::default());
    let echo_requests = start + Duration::from_millis(150);
    assert!(matches!(
        watch.check(start, echo_requests),
        LinkAction::RequestEcho(_)
    ));
    let woken = start + Duration::from_secs(5);
    assert!(matches!(watch.check(start, woken), LinkAction::Wait(_)));
    let read = woken + Duration::from_millis(1);
    let check = watch.check(read, woken + Duration::from_millis(20));
    assert!(matches!(check, LinkAction::Wait(_)), "{check:?}");
}
