//! A stable hash of one number.

/// Spreads a number evenly over 64 bits (the finaliser of splitmix64). Every
/// node must compute the same value, so the standard library's hashers, which
/// are seeded at random, cannot be used.
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
