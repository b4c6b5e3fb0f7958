//! Timelines of several nodes: what happened on each and when, checked for order and drawn as text.
//!
//! It owns the events and messages of one run and their order. It must never read a clock, nor depend on
//! the order in which it was told: sources may be merged as they come, and times decide.
//!
//! ```
//! use oakshed_timeline::{Style, Timeline};
//!
//! let mut line = Timeline::new(["discovery", "s1"]);
//! line.event(0, 1, "start");
//! line.message(1_000, 1, 0, Some(1_400), "ask");
//! line.event(5_000, 1, "list 41");
//! assert!(line.before(|e| e.word == "start", |e| e.word == "list 41").is_ok());
//! assert!(line.draw(&Style::default()).contains("list 41"));
//! ```

mod draw;

pub use draw::Style;

/// Something that happened on one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When, in microseconds.
    pub at: u64,
    /// The node's column.
    pub node: usize,
    /// The column's name.
    pub name: String,
    /// What happened, in a short word: `kill`, `list 41`, `dead s2?`.
    pub word: String,
}

/// Something that one node sent to another.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Message {
    sent: u64,
    from: usize,
    to: usize,
    /// Nothing where it was lost.
    arrives: Option<u64>,
    word: String,
}

/// What happened on several nodes: a column for each, events and messages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    columns: Vec<String>,
    events: Vec<Event>,
    messages: Vec<Message>,
}

impl Timeline {
    /// A timeline with these columns, one a node, in this order from the left.
    pub fn new(columns: impl IntoIterator<Item = impl Into<String>>) -> Timeline {
        Timeline {
            columns: columns.into_iter().map(Into::into).collect(),
            ..Timeline::default()
        }
    }

    /// The column of that name; a new one at the right where there is none.
    pub fn column(&mut self, name: &str) -> usize {
        self.columns
            .iter()
            .position(|c| c == name)
            .unwrap_or_else(|| {
                self.columns.push(name.to_owned());
                self.columns.len() - 1
            })
    }

    /// The names of the columns, from the left.
    #[must_use]
    pub fn columns(&self) -> &[String] {
        &self.columns
    }

    /// Something happened on a node at that time, in microseconds.
    ///
    /// # Panics
    /// Where there is no such column.
    pub fn event(&mut self, at: u64, node: usize, word: impl Into<String>) {
        let name = self.columns[node].clone();
        self.events.push(Event {
            at,
            node,
            name,
            word: word.into(),
        });
    }

    /// A node sent something to another, which arrives at that time or is lost; all in microseconds.
    ///
    /// # Panics
    /// Where there is no such column.
    pub fn message(
        &mut self,
        sent: u64,
        from: usize,
        to: usize,
        arrives: Option<u64>,
        word: impl Into<String>,
    ) {
        assert!(from.max(to) < self.columns.len(), "no such column");
        self.messages.push(Message {
            sent,
            from,
            to,
            arrives,
            word: word.into(),
        });
    }

    /// The events in the order of their times; what happened at one time, as it was told.
    #[must_use]
    pub fn events(&self) -> Vec<&Event> {
        let mut events: Vec<&Event> = self.events.iter().collect();
        events.sort_by_key(|e| e.at);
        events
    }

    /// Draws the whole as text: time runs down, arrows go between columns, quiet stretches are cut, and
    /// columns beyond the width are folded into one.
    #[must_use]
    pub fn draw(&self, style: &Style) -> String {
        draw::draw(self, style)
    }

    /// Checks that whatever matches `then` happened at or after the earliest that matches `first`.
    /// Holds where nothing matches `then`.
    ///
    /// # Errors
    /// The place: the event that came too early, its node and time, and when `first` came, if ever.
    pub fn before(
        &self,
        first: impl Fn(&Event) -> bool,
        then: impl Fn(&Event) -> bool,
    ) -> Result<(), String> {
        let events = self.events();
        let Some(early) = events.iter().find(|e| then(e)) else {
            return Ok(());
        };
        let told = |e: &Event| format!("`{}` on {} at {:.6} s", e.word, e.name, e.at as f64 / 1e6);
        match events.iter().find(|e| first(e)) {
            Some(cause) if cause.at <= early.at => Ok(()),
            Some(cause) => Err(format!("{} came before {}", told(early), told(cause))),
            None => Err(format!(
                "{} came, and what must come before it never did",
                told(early)
            )),
        }
    }
}
