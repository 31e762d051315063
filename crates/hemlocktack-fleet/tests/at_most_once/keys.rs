use hemlocktack_fleet::keys::{FleetKeys, KeyError, MacPurpose};

use crate::{KEY, OTHER_KEY, keys};

#[test]
fn verifies_only_its_own_macs() {
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
fn a_key_can_be_rotated_without_downtime() {
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
fn debug_output_hides_the_keys() {
    let printed = format!("{:?}", FleetKeys::new(KEY, Some(OTHER_KEY)).unwrap());
    assert_eq!(printed, "FleetKeys { accepted_count: 2, .. }");
    assert_eq!(
        FleetKeys::new(b"short", None).unwrap_err(),
        KeyError::TooShort
    );
}
