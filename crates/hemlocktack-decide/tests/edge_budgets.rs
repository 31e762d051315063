//! Retry limits over all nodes, and budgets kept after a service has gone.

use std::time::{Duration, Instant};

use hemlocktack_decide::{
    EdgeRetryBudget, EdgeRetryBudgets, FleetRetryLimits, NodePosition, RetryPriority,
};
use hemlocktack_protocol::ServiceName;

const SECOND: Duration = Duration::from_secs(1);
/// Window over which operators limit retries.
const WINDOW_S: u64 = 10;

fn service() -> ServiceName {
    "diaries".into()
}

fn budgets_of_fleet(allowed: FleetRetryLimits, nodes: usize) -> Vec<EdgeRetryBudgets> {
    (0..nodes)
        .map(|index| {
            let place = NodePosition {
                index,
                count: nodes,
            };
            EdgeRetryBudgets::new(allowed, place)
        })
        .collect()
}

fn take_all(edge: &EdgeRetryBudget, now: Instant) -> u32 {
    (0..1_000)
        .take_while(|_| edge.try_take(RetryPriority::HIGHEST, now))
        .count() as u32
}

/// Returns the maximum number of retries of all nodes in any ten seconds, when each node makes
/// at most one first attempt per second and every call takes all the retries it can get, and the
/// first attempts in ten seconds.
fn most_retries(
    allowed: FleetRetryLimits,
    nodes: usize,
    seconds_between_attempts: u64,
) -> (u32, u32) {
    const SECONDS: u64 = 40;
    let now = Instant::now();
    let mut budgets = budgets_of_fleet(allowed, nodes);
    let mut retries = vec![0; SECONDS as usize];
    let mut first_attempts = 0;
    for second in 0..SECONDS {
        let at = now + SECOND * second as u32;
        for (number, budgets) in budgets.iter_mut().enumerate() {
            if !(second + number as u64).is_multiple_of(seconds_between_attempts) {
                continue;
            }
            let edge = budgets.edge(&service(), at);
            edge.record_first_attempt(at);
            first_attempts += 1;
            retries[second as usize] += take_all(&edge, at);
        }
    }
    let windows = retries.windows(WINDOW_S as usize);
    let most = windows.map(|window| window.iter().sum()).max().unwrap_or(0);
    (most, first_attempts * WINDOW_S as u32 / SECONDS as u32)
}

/// All answers of a service with few calls are lost. Each of many nodes makes a few calls to it,
/// too few to earn a retry by its share, and uses its minimum number of retries. The operators
/// limit the sum over all nodes, so the minimum of one node has to shrink as their number grows.
#[test]
fn many_nodes_with_few_calls_stay_within_the_fleet_limit() {
    for (nodes, min_retries) in [(17, 57), (74, 69), (560, 57)] {
        let allowed = FleetRetryLimits {
            share_per_mille: 200,
            min_retries,
        };
        for seconds_between_attempts in [1, 3, 10] {
            let (most, first_attempts) = most_retries(allowed, nodes, seconds_between_attempts);
            let bound = first_attempts * allowed.share_per_mille / 1_000 + min_retries;
            assert!(most <= bound, "{nodes} nodes: {most} of {bound}");
            assert!(most > 0, "{nodes} nodes make no retry at all");
        }
    }
}

/// All nodes of a service are lost at once and return two seconds later, as after a power
/// failure. A node that had used up its retries must not get a new budget, or its retries would
/// hit the service while it starts.
#[test]
fn a_returning_service_keeps_its_used_budget() {
    let allowed = FleetRetryLimits {
        share_per_mille: 200,
        min_retries: 57,
    };
    let now = Instant::now();
    let mut budgets = budgets_of_fleet(allowed, 1).remove(0);
    assert!(take_all(&budgets.edge(&service(), now), now) > 0);
    budgets.retain(|_| false, now + SECOND);
    let back = now + SECOND * 3;
    assert_eq!(take_all(&budgets.edge(&service(), back), back), 0);
    let later = now + SECOND * WINDOW_S as u32;
    assert!(take_all(&budgets.edge(&service(), later), later) > 0);
}

/// The same for a service whose nodes did not change for an hour; a service that does not return
/// is forgotten eventually.
#[test]
fn an_old_edge_is_kept_for_a_while_and_then_forgotten() {
    let begin = Instant::now();
    let mut budgets = budgets_of_fleet(FleetRetryLimits::default(), 1).remove(0);
    budgets.edge(&service(), begin);
    let now = begin + SECOND * 3_600;
    let edge = budgets.edge(&service(), now);
    assert!(take_all(&edge, now) > 0);
    budgets.retain(|_| false, now + SECOND);
    let back = now + SECOND * 3;
    assert_eq!(take_all(&budgets.edge(&service(), back), back), 0);
    budgets.retain(|_| false, now + SECOND * 60);
    let later = now + SECOND * 61;
    let anew = budgets.edge(&service(), later);
    assert!(!std::sync::Arc::ptr_eq(&edge, &anew));
}
