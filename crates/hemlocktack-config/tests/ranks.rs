//! Classes of requests by account and route.
#![allow(clippy::unwrap_used)]

use hemlocktack_config::{CLASS_LIMIT, ClientAccount, RequestRanks, Route};

fn route(priority: Option<u32>) -> Route {
    Route {
        name: String::new(),
        host: String::new(),
        path_prefix: "/".to_owned(),
        idempotent: true,
        timeout_ms: None,
        target_latency_ms: None,
        priority,
        attempts: 1,
        is_public: false,
        targets: Vec::new(),
    }
}

fn account(priority: Option<u32>) -> ClientAccount {
    ClientAccount {
        name: String::new(),
        keys: Vec::new(),
        priority,
        quota: None,
    }
}

/// Guards against an account's bookings that are shed as early as its browsing.
#[test]
fn the_route_decides_among_equal_accounts() {
    let routes = [route(Some(0)), route(Some(2))];
    let accounts = [account(Some(0)), account(Some(1))];
    let ranks = RequestRanks::new(&routes, &accounts);
    let rank = |account, route| ranks.rank(&routes[route], Some(&accounts[account]));
    let in_order = [rank(0, 0), rank(0, 1), rank(1, 0), rank(1, 1)];
    assert!(in_order.is_sorted_by(|a, b| a < b), "{in_order:?}");
    assert!(ranks.rank(&routes[0], None) > rank(1, 1));
}

/// Guards against other classes than before where there are no accounts.
#[test]
fn without_accounts_the_route_decides_alone() {
    let routes: Vec<Route> = (0..20).map(|priority| route(Some(priority))).collect();
    let ranks = RequestRanks::new(&routes[..3], &[]);
    assert_eq!(ranks.class_count(), 4);
    assert_eq!(ranks.rank(&routes[2], None), 2);
    assert_eq!(ranks.rank(&route(None), None), 3);
    let ranks = RequestRanks::new(&routes, &[]);
    assert_eq!(ranks.class_count(), CLASS_LIMIT);
    assert_eq!(ranks.rank(&routes[14], None), 14);
    assert_eq!(ranks.rank(&routes[17], None), 15);
}

/// Guards against a class out of order where there are more combinations than classes.
#[test]
fn combinations_beyond_the_limit_keep_their_order() {
    let routes: Vec<Route> = (0..7).map(|priority| route(Some(priority))).collect();
    let accounts: Vec<ClientAccount> = (0..9).map(|priority| account(Some(priority))).collect();
    let ranks = RequestRanks::new(&routes, &accounts);
    let all = accounts.iter().flat_map(|account| {
        let of_account = routes.iter().map(|route| ranks.rank(route, Some(account)));
        of_account.collect::<Vec<_>>()
    });
    let all: Vec<_> = all.collect();
    assert!(all.is_sorted(), "{all:?}");
    assert!(all.iter().all(|rank| usize::from(*rank) < CLASS_LIMIT));
    let largest = RequestRanks::new(&[route(Some(u32::MAX))], &[account(Some(u32::MAX))]);
    assert_eq!(largest.class_count(), CLASS_LIMIT);
}
