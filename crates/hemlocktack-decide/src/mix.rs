//! A stable hash of one integer.

/// Distributes an integer evenly over 64 bits with the finalizer of splitmix64. Every node must
/// compute the same value, so the randomly seeded hashers of the standard library cannot be
/// used.
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
