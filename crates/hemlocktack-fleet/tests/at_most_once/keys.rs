use hemlocktack_fleet::keys::{FleetKeys, KeyError, MacPurpose};

use crate::{KEY, OTHER_KEY, keys};

#[test]
fn verifies_its_own_macs_and_no_others() {
    let mac = keys().sign(MacPurpose::Gossip, &[b"ab", b"c"]);
    let other = FleetKeys::new(OTHER_KEY, None).unwrap();
    let parts: &[&[u8]] = &[b"ab", b"c"];
    let cut_elsewhere: &[&[u8]] = &[b"a", b"bc"];
    let cases = [
        ("same", keys(), MacPurpose::Gossip, parts, &mac[..], true),
        (
            "truncated to 16 bytes",
            keys(),
            MacPurpose::Gossip,
            parts,
            &mac[..16],
            true,
        ),
        (
            "truncated further",
            keys(),
            MacPurpose::Gossip,
            parts,
            &mac[..15],
            false,
        ),
        ("empty", keys(), MacPurpose::Gossip, parts, &[], false),
        (
            "other purpose",
            keys(),
            MacPurpose::Ticket,
            parts,
            &mac,
            false,
        ),
        (
            "parts cut elsewhere",
            keys(),
            MacPurpose::Gossip,
            cut_elsewhere,
            &mac,
            false,
        ),
        ("other key", other, MacPurpose::Gossip, parts, &mac, false),
    ];
    for (name, keys, purpose, parts, mac, expected) in cases {
        assert_eq!(keys.verify(purpose, parts, mac), expected, "{name}");
    }
}

#[test]
fn a_key_can_be_changed_without_a_stop() {
    let old = keys();
    let accepts_new = FleetKeys::new(KEY, Some(OTHER_KEY)).unwrap();
    let signs_new = FleetKeys::new(OTHER_KEY, Some(KEY)).unwrap();
    let steps = [(&old, &accepts_new), (&accepts_new, &signs_new)];
    for (earlier, later) in steps {
        for (signer, verifier) in [(earlier, later), (later, earlier)] {
            let mac = signer.sign(MacPurpose::Ticket, &[b"booking"]);
            assert!(verifier.verify(MacPurpose::Ticket, &[b"booking"], &mac));
        }
    }
}

#[test]
fn is_never_printed() {
    let printed = format!("{:?}", FleetKeys::new(KEY, Some(OTHER_KEY)).unwrap());
    assert_eq!(printed, "FleetKeys { accepted_count: 2, .. }");
    assert_eq!(
        FleetKeys::new(b"short", None).unwrap_err(),
        KeyError::TooShort
    );
}
