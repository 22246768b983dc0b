//! Finds the ends of server-sent events in the bytes of a stream (WHATWG HTML §9.2.5 and §9.2.6).

/// What has arrived of the current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// The name of a field, as far as it has arrived.
#[derive(Clone, Copy, Debug, Default)]
struct FieldName {
    bytes: [u8; Self::MAX_LENGTH],
    length: usize,
    is_ended: bool,
}

impl FieldName {
    /// Length of the longest name that is told from others.
    const MAX_LENGTH: usize = 4;

    fn add(&mut self, byte: u8) {
        self.is_ended |= byte == b':';
        if self.is_ended {
            return;
        }
        if let Some(next) = self.bytes.get_mut(self.length) {
            *next = byte;
        } else {
            self.is_ended = true;
        }
        self.length += 1;
    }

    /// Whether fields of this name carry what the caller reads.
    fn carries_content(&self) -> bool {
        let name = self.bytes.get(..self.length);
        name.is_some_and(|name| matches!(name, b"id" | b"data"))
    }

    fn is_identifier(&self) -> bool {
        self.bytes.get(..self.length) == Some(b"id")
    }
}

/// How far a stream of events has got.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventScanner {
    line: Line,
    /// The name of the current line's field.
    field_name: FieldName,
    /// Whether fields have arrived since the last blank line.
    is_event_open: bool,
    /// Whether one of them carries data or an identifier.
    has_content: bool,
    /// Whether one of them is an identifier.
    has_identifier: bool,
    /// Whether the last whole event with content has no identifier.
    lacks_identifier: bool,
    follows_carriage_return: bool,
    /// Whether lines end with both a carriage return and a line feed.
    uses_both_line_ends: bool,
    has_event: bool,
    events_with_content: u64,
}

impl EventScanner {
    /// Scans the next bytes of the stream. Returns how many of them belong to whole events, or to whole lines between
    /// events.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let (mut whole, mut index) = (0, 0);
        while index < bytes.len() {
            if self.line != Line::Empty && !self.is_in_field_name() {
                let rest = bytes[index..].iter();
                let line_end = rest.clone().position(|byte| matches!(byte, b'\n' | b'\r'));
                index += line_end.unwrap_or(rest.len() - 1);
            }
            self.add(bytes[index]);
            index += 1;
            if !self.is_inside_event() {
                whole = index;
            }
        }
        whole
    }

    /// Whether the stream has stopped inside an event, a line or a line end.
    pub fn is_inside_event(&self) -> bool {
        let is_between_line_ends = self.follows_carriage_return && self.uses_both_line_ends;
        self.is_event_open || self.line != Line::Empty || is_between_line_ends
    }

    /// Whole events that carry data or an identifier.
    pub fn events_with_content(&self) -> u64 {
        self.events_with_content
    }

    /// Whether the identifier of the last event tells what of the stream has arrived, so that it can be continued.
    pub fn identifies_last_event(&self) -> bool {
        !self.lacks_identifier
    }

    /// Whether an event has ended.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// The next bytes follow the last whole event.
    pub fn discard_partial_event(&mut self) {
        *self = Self {
            has_event: self.has_event,
            events_with_content: self.events_with_content,
            lacks_identifier: self.lacks_identifier,
            uses_both_line_ends: self.uses_both_line_ends,
            ..Self::default()
        };
    }

    fn is_in_field_name(&self) -> bool {
        self.line == Line::Field && !self.field_name.is_ended
    }

    fn add(&mut self, byte: u8) {
        let follows_carriage_return = std::mem::take(&mut self.follows_carriage_return);
        match byte {
            b'\n' if follows_carriage_return => self.uses_both_line_ends = true,
            b'\n' => self.end_line(),
            b'\r' => {
                self.follows_carriage_return = true;
                self.end_line();
            }
            b':' if self.line == Line::Empty => self.line = Line::Comment,
            _ => {
                if self.line == Line::Empty {
                    self.line = Line::Field;
                    self.field_name = FieldName::default();
                }
                self.field_name.add(byte);
            }
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty => {
                self.has_event |= std::mem::take(&mut self.is_event_open);
                let has_identifier = std::mem::take(&mut self.has_identifier);
                if std::mem::take(&mut self.has_content) {
                    self.events_with_content += 1;
                    self.lacks_identifier = !has_identifier;
                }
            }
            Line::Comment => {}
            Line::Field => {
                self.is_event_open = true;
                self.has_content |= self.field_name.carries_content();
                self.has_identifier |= self.field_name.is_identifier();
            }
        }
    }
}

#[cfg(test)]
#[path = "event_scanner_tests.rs"]
mod tests;
