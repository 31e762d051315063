//! A hash that is the same on every node, regardless of its build.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the FNV-1a hash of the parts, each terminated by a byte that never occurs in UTF-8. A
/// final mixing step spreads the hashes of similar inputs.
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
