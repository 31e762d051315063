//! A hash that is the same on every node, whatever built it.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a of the parts, each ended by a byte that no UTF-8 text contains,
/// with a final mix so that close inputs end far apart.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    const END_OF_PART: u8 = 0xff;
    let mut hash = OFFSET_BASIS;
    for part in parts {
        for byte in part.iter().chain(&[END_OF_PART]) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
