//! Ranks of requests that have a route and may have a client account.

use hemlocktack_protocol::ClassRank;

use super::account::ClientAccount;
use crate::bounds::CLASS_LIMIT;
use crate::routes::Route;

/// Classes of requests by the priority of their account and, among those of equal accounts, by that
/// of their route.
///
/// With the account's priority alone, an account's bookings would be shed as early as its browsing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRanks {
    account_ranks: usize,
    route_ranks: usize,
}

impl RequestRanks {
    /// Returns the ranks that these routes and accounts need. Both lists have a rank of their own,
    /// below all others, for entries without a priority.
    pub fn new(routes: &[Route], accounts: &[ClientAccount]) -> RequestRanks {
        let of_routes = routes.iter().filter_map(|route| route.priority).max();
        let of_accounts = accounts.iter().filter_map(|account| account.priority).max();
        let ranks = |highest: u32| {
            usize::try_from(highest)
                .unwrap_or(usize::MAX)
                .saturating_add(2)
        };
        RequestRanks {
            account_ranks: of_accounts.map_or(1, ranks),
            route_ranks: of_routes.map_or(1, ranks),
        }
    }

    /// Returns the number of classes, which is limited.
    pub fn class_count(&self) -> usize {
        self.total().min(CLASS_LIMIT)
    }

    fn total(&self) -> usize {
        self.account_ranks.saturating_mul(self.route_ranks)
    }

    /// Returns the rank of a request, 0 is the most important. Where there are more combinations
    /// than classes, neighbouring ones share a class.
    pub fn rank(&self, route: &Route, account: Option<&ClientAccount>) -> ClassRank {
        let account = account.and_then(|account| account.priority);
        let of_account = position(account, self.account_ranks);
        let of_route = self.rank_of_route(route);
        let combined = of_account
            .saturating_mul(self.route_ranks)
            .saturating_add(of_route);
        let last = self.class_count() - 1;
        let rank = match self.account_ranks > 1 && self.total() > CLASS_LIMIT {
            true => combined.saturating_mul(CLASS_LIMIT) / self.total(),
            false => combined,
        };
        ClassRank::try_from(rank.min(last)).unwrap_or(ClassRank::MAX)
    }

    /// Returns the rank of a route's requests among those of one account.
    pub fn rank_in_account(&self, route: &Route) -> ClassRank {
        ClassRank::try_from(self.rank_of_route(route)).unwrap_or(ClassRank::MAX)
    }

    fn rank_of_route(&self, route: &Route) -> usize {
        position(route.priority, self.route_ranks)
    }
}

/// Returns the position of a priority among so many ranks, of which the last is for entries without
/// one.
fn position(priority: Option<u32>, ranks: usize) -> usize {
    let last = ranks - 1;
    let priority = priority.and_then(|priority| usize::try_from(priority).ok());
    priority.map_or(last, |priority| priority.min(last))
}
