use hemlocktack_fleet::calls::{Arrival, ArrivalLimits, Arrivals, Resolution};

use crate::{answer, peer};

#[test]
fn runs_a_call_once_and_keeps_its_answer() {
    let mut arrivals = Arrivals::new(ArrivalLimits::default());
    let sender = peer("dum-dum-1");
    assert_eq!(arrivals.record_arrival(&sender, 5), Arrival::New);
    assert_eq!(arrivals.record_arrival(&sender, 5), Arrival::Dropped);
    assert_eq!(arrivals.resolve(&sender, 5), Resolution::Running);
    arrivals.finish(&sender, 5, Some(answer("booked")));
    assert_eq!(
        arrivals.resolve(&sender, 5),
        Resolution::Finished(answer("booked"))
    );
    assert_eq!(arrivals.record_arrival(&sender, 5), Arrival::Dropped);
    assert_eq!(arrivals.record_arrival(&peer("howrah-1"), 5), Arrival::New);
    arrivals.finish(&peer("howrah-1"), 5, None);
    assert_eq!(
        arrivals.resolve(&peer("howrah-1"), 5),
        Resolution::Forgotten
    );
    assert_eq!(arrivals.counts().duplicates, 2);
}

/// Guards against forgetting the settled call with the smallest id first: that is often the one
/// that took longest, whose answer would be dropped as soon as it is recorded.
#[test]
fn the_answer_to_a_call_that_outlasts_many_later_ones_is_kept() {
    let limits = ArrivalLimits::default();
    let mut arrivals = Arrivals::new(limits);
    let sender = peer("dum-dum-1");
    assert_eq!(arrivals.record_arrival(&sender, 0), Arrival::New);
    for call_id in 1..=limits.settled_per_sender as u64 {
        assert_eq!(arrivals.record_arrival(&sender, call_id), Arrival::New);
        arrivals.finish(&sender, call_id, Some(answer("page")));
    }
    assert_eq!(arrivals.resolve(&sender, 0), Resolution::Running);
    arrivals.finish(&sender, 0, Some(answer("booked")));
    assert_eq!(
        arrivals.resolve(&sender, 0),
        Resolution::Finished(answer("booked"))
    );
}

// A link is lost while a call is still in the receiver's buffer. The sender asks over a new link,
// is told "never arrived" and reports `not_run`; then the receiver reads the buffer.
#[test]
fn a_call_reported_as_never_arrived_is_fenced() {
    let mut arrivals = Arrivals::new(ArrivalLimits::default());
    let sender = peer("dum-dum-1");
    assert_eq!(arrivals.resolve(&sender, 3), Resolution::NeverArrived);
    assert_eq!(arrivals.record_arrival(&sender, 3), Arrival::Dropped);
    assert_eq!(arrivals.resolve(&sender, 3), Resolution::NeverArrived);
    assert_eq!(arrivals.counts().fenced, 1);
}

// The receiver drops old records to stay within its memory limit, and is then asked about a call
// that ran. The reply "never arrived" would make the sender run it again.
#[test]
fn a_forgotten_call_is_never_reported_as_never_arrived() {
    let limits = ArrivalLimits {
        settled_per_sender: 4,
        senders: 2,
        forgotten_senders: 1,
        kept_answer_bytes: 4096,
    };
    let mut arrivals = Arrivals::new(limits);
    let sender = peer("dum-dum-1");
    for call_id in 0..20 {
        assert_eq!(arrivals.record_arrival(&sender, call_id), Arrival::New);
        arrivals.finish(&sender, call_id, Some(answer("booked")));
        arrivals.assert_consistent();
    }
    assert_eq!(arrivals.resolve(&sender, 3), Resolution::Forgotten);
    assert_eq!(arrivals.record_arrival(&sender, 3), Arrival::Dropped);
    assert_eq!(
        arrivals.resolve(&sender, 19),
        Resolution::Finished(answer("booked"))
    );
    assert_eq!(arrivals.resolve(&sender, 20), Resolution::NeverArrived);

    for other in ["howrah-1", "howrah-2"] {
        arrivals.record_arrival(&peer(other), 1);
    }
    assert_eq!(arrivals.resolve(&sender, 19), Resolution::Forgotten);
    assert_eq!(arrivals.record_arrival(&sender, 20), Arrival::Dropped);
    assert_eq!(arrivals.record_arrival(&sender, 21), Arrival::New);

    for other in ["howrah-3", "howrah-4", "howrah-5"] {
        arrivals.record_arrival(&peer(other), 1);
        arrivals.assert_consistent();
    }
    assert_eq!(arrivals.resolve(&sender, 30), Resolution::Forgotten);
}
