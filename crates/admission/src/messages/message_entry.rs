//! The entries that follow the header of a message. Each is preceded by a character that marks its type.
use std::str::Bytes;

/// A type of message entry.
pub(crate) trait MessageEntry: Sized {
    /// The character that marks an entry of this type.
    const MARKER: u8;

    /// Appends the entry's digits to a message.
    fn encode(&self, text: &mut String);

    /// Reads an entry from a message; `None` if a digit is missing or invalid.
    fn decode(bytes: &mut Bytes<'_>) -> Option<Self>;
}

/// Appends entries to a message, each after its marker.
pub(crate) fn put_entries<E: MessageEntry>(text: &mut String, entries: &[E]) {
    for entry in entries {
        text.push(char::from(E::MARKER));
        entry.encode(text);
    }
}

/// Reads an entry of this type, whose marker has been read, and appends it to `entries`; `None` if a digit is
/// missing or invalid.
pub(crate) fn take_entry<E: MessageEntry>(bytes: &mut Bytes<'_>, entries: &mut Vec<E>) -> Option<()> {
    entries.push(E::decode(bytes)?);
    Some(())
}

/// Reads the first character of a message, which marks the type of the message; `None` if it is not
/// `message_type`.
pub(crate) fn take_message_type(bytes: &mut Bytes<'_>, message_type: u8) -> Option<()> {
    (bytes.next()? == message_type).then_some(())
}
