//! The entries that a message has after its head, each behind the character that marks its type.
use std::str::Bytes;

/// A type of entries.
pub(crate) trait MessageEntry: Sized {
    /// The character that marks an entry of this type.
    const MARKER: u8;

    /// Adds the entry's digits to a message.
    fn encode(&self, text: &mut String);

    /// Reads an entry from a message; `None` where its digits are not all there.
    fn decode(bytes: &mut Bytes<'_>) -> Option<Self>;
}

/// Adds entries to a message, each with its marker.
pub(crate) fn put_entries<E: MessageEntry>(text: &mut String, entries: &[E]) {
    for entry in entries {
        text.push(char::from(E::MARKER));
        entry.encode(text);
    }
}

/// Reads an entry of this type, behind its marker, into the entries received so far; `None` where its digits
/// are not all there.
pub(crate) fn take_entry<E: MessageEntry>(bytes: &mut Bytes<'_>, entries: &mut Vec<E>) -> Option<()> {
    entries.push(E::decode(bytes)?);
    Some(())
}

/// Reads the first character of a message; `None` where it is of another type.
pub(crate) fn take_version(bytes: &mut Bytes<'_>, version: u8) -> Option<()> {
    (bytes.next()? == version).then_some(())
}
