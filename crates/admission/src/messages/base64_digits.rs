//! Numbers as base-64 digits, so that messages are short and plain text.
use std::str::Bytes;

/// The digits in the order of their values.
const DIGITS: &[u8; 64] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";

/// Number of bits that one digit carries.
const DIGIT_BITS: u32 = 6;

/// The largest number that one digit carries.
pub(crate) const MAX_ONE_DIGIT: u32 = max_value(1);

/// The largest number that two digits carry.
pub(crate) const MAX_TWO_DIGITS: u32 = max_value(2);

/// A 64-bit number is written in three groups: its four highest bits as one digit, then two groups of this
/// number of bits as five digits each.
const GROUP_BITS: u32 = 30;

/// Mask of one of the last two groups of a 64-bit number.
const GROUP_MASK: u64 = 0x3fff_ffff;

/// Mask of the first group of a 64-bit number, which has four bits.
const FIRST_GROUP_MASK: u64 = 0xf;

/// Returns the largest number that `digits` digits carry; `digits` is five at most.
pub(crate) const fn max_value(digits: u32) -> u32 {
    (1 << (DIGIT_BITS * digits)) - 1
}

/// Appends the low bits of a number as `digits` digits, the highest first.
pub(crate) fn put(text: &mut String, value: u32, digits: u32) {
    for place in (0..digits).rev() {
        text.push(DIGITS[(value >> (DIGIT_BITS * place) & MAX_ONE_DIGIT) as usize] as char);
    }
}

/// Appends a number as `digits` digits. A number that they cannot carry is written as the largest that they
/// can.
pub(crate) fn put_saturating(text: &mut String, value: u32, digits: u32) {
    put(text, value.min(max_value(digits)), digits);
}

/// Reads a number of `digits` digits; `None` if the text ends before them or has another character.
pub(crate) fn take(bytes: &mut Bytes<'_>, digits: u32) -> Option<u32> {
    let mut value = 0;
    for _ in 0..digits {
        value = value << DIGIT_BITS | u32::from(digit_value(bytes.next()?)?);
    }
    Some(value)
}

/// Returns the value of a digit; `None` if the character is no digit.
fn digit_value(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'A'..=b'Z' => Some(digit - b'A' + 10),
        b'a'..=b'z' => Some(digit - b'a' + 36),
        b'-' => Some(62),
        b'_' => Some(63),
        _ => None,
    }
}

/// Appends a 64-bit number as eleven digits.
pub(crate) fn put_u64(text: &mut String, value: u64) {
    put(text, (value >> (2 * GROUP_BITS)) as u32, 1);
    put(text, (value >> GROUP_BITS & GROUP_MASK) as u32, 5);
    put(text, (value & GROUP_MASK) as u32, 5);
}

/// Reads a 64-bit number of eleven digits; `None` if the text ends before them or has another character.
pub(crate) fn take_u64(bytes: &mut Bytes<'_>) -> Option<u64> {
    let first = u64::from(take(bytes, 1)?) & FIRST_GROUP_MASK;
    let middle = u64::from(take(bytes, 5)?);
    let last = u64::from(take(bytes, 5)?);
    Some(first << (2 * GROUP_BITS) | middle << GROUP_BITS | last)
}
