//! Decoding of untrusted bytes: no panic, and memory within the limits.

use hemlocktack_fleet::handover::{HandoverLimits, IncomingHandovers};
use hemlocktack_fleet::tickets::{StartDecision, Ticket};
use hemlocktack_protocol::Handover;
use proptest::prelude::*;
use prost::Message;

use crate::{FINGERPRINT, SERVICE, fixed_seed, home, keys, table, ticket};

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn ticket_from_any_text(text in ".{0,400}") {
        prop_assert!(Ticket::decode(&keys(), SERVICE, &text).is_err());
    }

    #[test]
    fn ticket_from_a_damaged_text(position in 0usize..200, byte in 0u8..128) {
        let genuine = ticket(0x1234_5678).encode();
        let mut text = genuine.clone().into_bytes();
        let position = position % text.len();
        text[position] = byte;
        let text = String::from_utf8(text).unwrap();
        if let Ok(decoded) = Ticket::decode(&keys(), SERVICE, &text) {
            prop_assert_eq!(decoded, ticket(0x1234_5678));
        }
    }

    #[test]
    fn handover_from_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        if let Ok(frame) = Handover::decode(&bytes[..]) {
            check_handover(frame);
        }
    }

    #[test]
    fn handover_with_any_fields(
        parts in prop::collection::vec((0u32..3, any::<bool>(), any::<bool>(), 0u64..3), 1..8),
        nonces in prop::collection::vec(prop::collection::vec(any::<u8>(), 15..18), 0..6),
    ) {
        for (part, last, committed, current_epoch) in parts {
            let mut frame = Handover { part, last, committed, current_epoch, ..Handover::default() };
            frame.home_node_id = "dum-dum-1".to_owned();
            for nonce in &nonces {
                let entry = hemlocktack_protocol::HandoverEntry {
                    nonce: nonce.clone().into(),
                    progress: i32::from(part as u8),
                    ..Default::default()
                };
                frame.entries.push(entry);
            }
            check_handover(frame);
        }
    }
}

fn check_handover(frame: Handover) {
    let limits = HandoverLimits {
        tables: 1,
        entries: 4,
        table_bytes: 512,
    };
    let mut handovers = IncomingHandovers::new(limits);
    let mut table = table();
    for _ in 0..2 {
        let _ = handovers.handle_frame(&mut table, &home(), frame.clone());
        assert!(handovers.entry_count() <= limits.entries);
    }
    table.assert_consistent();
    assert_eq!(table.start(&ticket(1), FINGERPRINT), StartDecision::Run);
}
