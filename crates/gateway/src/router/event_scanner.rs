//! Finds the ends of server-sent events in the bytes of a stream (WHATWG HTML §9.2.5 and §9.2.6).

/// What has arrived of the current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// How far a stream of events has got.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventScanner {
    line: Line,
    /// Whether fields have arrived since the last blank line.
    is_event_open: bool,
    follows_carriage_return: bool,
    /// Whether lines end with both a carriage return and a line feed.
    uses_both_line_ends: bool,
    has_event: bool,
}

impl EventScanner {
    /// Scans the next bytes of the stream. Returns how many of them belong to whole events, or to whole lines between
    /// events.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let (mut whole, mut index) = (0, 0);
        while index < bytes.len() {
            if self.line != Line::Empty {
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

    /// Whether an event has ended.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// The next bytes follow the last whole event.
    pub fn discard_partial_event(&mut self) {
        *self = Self {
            has_event: self.has_event,
            uses_both_line_ends: self.uses_both_line_ends,
            ..Self::default()
        };
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
            _ if self.line == Line::Empty => self.line = Line::Field,
            _ => {}
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty => self.has_event |= std::mem::take(&mut self.is_event_open),
            Line::Comment => {}
            Line::Field => self.is_event_open = true,
        }
    }
}

#[cfg(test)]
#[path = "event_scanner_tests.rs"]
mod tests;
