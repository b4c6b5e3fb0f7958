//! The picture of a timeline: rows of text, a lifeline for each column.
//!
//! It owns where things stand on the page. It must never leave out that something happened: what does not
//! fit is clipped, counted, or folded with its name.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use crate::Timeline;

/// How a timeline is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Style {
    /// The width of the page, in characters. At least the first column is drawn.
    pub width: usize,
    /// Stretches longer than this in which nothing happens are cut, in microseconds.
    pub quiet: u64,
    /// What happens within one step shares a time, in microseconds.
    pub step: u64,
}

impl Default for Style {
    /// A page of 110 characters, cut after half a second, a row for each millisecond.
    fn default() -> Style {
        Style {
            width: 110,
            quiet: 500_000,
            step: 1_000,
        }
    }
}

/// The width of the times at the left.
const TIMES: usize = 11;
/// The least and the most width of a column.
const NARROW: usize = 9;
const BROAD: usize = 20;
/// The width of the column in which others are folded.
const FOLD: usize = 30;
/// The most names told beside what happened on folded columns.
const NAMED: usize = 4;

/// What stands on the page, in the order of time; columns by their places on the page.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Mark {
    Word {
        at: usize,
        word: String,
    },
    Arrow {
        from: usize,
        to: usize,
        word: String,
        lost: bool,
    },
}

/// Which columns are drawn, and how.
struct Page {
    /// The place of each column; those that are folded share the last.
    place: Vec<usize>,
    heads: Vec<String>,
    cell: usize,
    /// The place of the folded ones, if there are any.
    fold: Option<usize>,
    width: usize,
}

impl Page {
    fn new(line: &Timeline, style: &Style) -> Page {
        let long = |text: &String| text.chars().count();
        let names = line.columns.iter().map(long).max().unwrap_or(0) + 2;
        let words = line
            .messages
            .iter()
            .map(|m| m.word.chars().count() + took(m, style).len() + 6)
            .max();
        let cell = names.max(words.unwrap_or(0)).clamp(NARROW, BROAD);
        let room = style.width.saturating_sub(TIMES);
        let total = line.columns.len();
        let mut shown: BTreeSet<usize> = (0..total).collect();
        if total * cell > room.max(cell) {
            // The first is always drawn; of the others those on which most happens, then from the left.
            let mut count = vec![0_u64; total];
            line.events.iter().for_each(|e| count[e.node] += 1);
            line.messages
                .iter()
                .flat_map(|m| [m.from, m.to])
                .for_each(|node| count[node] += 1);
            let mut order: Vec<usize> = (0..total).collect();
            order.sort_by_key(|&c| (c != 0, std::cmp::Reverse(count[c]), c));
            shown = order
                .into_iter()
                .take((room.saturating_sub(FOLD) / cell).max(1))
                .collect();
        }
        let mut place = vec![shown.len(); total];
        let mut heads = Vec::new();
        for (at, &column) in shown.iter().enumerate() {
            place[column] = at;
            heads.push(line.columns[column].clone());
        }
        let fold = (shown.len() < total).then_some(shown.len());
        if fold.is_some() {
            heads.push(format!("+{} more", total - shown.len()));
        }
        Page {
            place,
            heads,
            cell,
            fold,
            width: style.width,
        }
    }

    fn x(&self, place: usize) -> usize {
        TIMES + place * self.cell
    }

    /// A row with nothing but lifelines.
    fn empty(&self) -> Vec<char> {
        let mut row = vec![' '; self.x(self.heads.len())];
        (0..self.heads.len()).for_each(|place| row[self.x(place)] = '|');
        row
    }

    /// What a mark takes of a row.
    fn span(&self, mark: &Mark) -> (usize, usize) {
        match mark {
            Mark::Word { at, word } => (self.x(*at), self.x(*at) + word.chars().count() + 1),
            Mark::Arrow { from, to, .. } => (self.x(*from.min(to)), self.x(*from.max(to)) + 1),
        }
    }

    fn put(&self, row: &mut Vec<char>, mark: &Mark) {
        let (start, end) = self.span(mark);
        row.resize(row.len().max(end), ' ');
        match mark {
            Mark::Word { word, .. } => row.splice(start..end - 1, word.chars()).for_each(drop),
            Mark::Arrow {
                from,
                to,
                word,
                lost,
            } => {
                let right = from < to;
                let inner = start + 1..end - 1;
                row[inner.clone()].fill('-');
                let head = if right { end - 2 } else { start + 1 };
                row[head] = match (lost, right) {
                    (true, _) => 'x',
                    (false, true) => '>',
                    (false, false) => '<',
                };
                let room = inner.len().saturating_sub(4);
                let text = clip(word, room);
                // The word stands at the sender's side.
                let length = text.chars().count();
                let at = if right { start + 2 } else { end - 2 - length };
                row.splice(at..at + length, text.chars()).for_each(drop);
            }
        }
    }

    /// The marks of one step, in order; what happens alike on folded columns is one mark with its count.
    fn marks(&self, line: &Timeline, items: &[(u64, Item<'_>)]) -> Vec<Mark> {
        let mut marks: Vec<(Mark, Vec<&str>)> = Vec::new();
        let mut seen: BTreeMap<Mark, usize> = BTreeMap::new();
        for (_, item) in items {
            let (mark, folded) = match item {
                Item::Event(e) => {
                    let at = self.place[e.node];
                    (
                        Mark::Word {
                            at,
                            word: e.word.clone(),
                        },
                        Some(e.node).filter(|_| self.fold == Some(at)),
                    )
                }
                Item::Message(m, took) => {
                    let (from, to) = (self.place[m.from], self.place[m.to]);
                    let word = format!("{}{took}", m.word);
                    let other = [(to, m.to), (from, m.from)]
                        .into_iter()
                        .find(|(p, _)| self.fold == Some(*p));
                    let lost = m.arrives.is_none();
                    let mark = if from == to {
                        Mark::Word {
                            at: from,
                            word: format!("{word}{}", if lost { " x" } else { " >" }),
                        }
                    } else {
                        Mark::Arrow {
                            from,
                            to,
                            word,
                            lost,
                        }
                    };
                    (mark, other.map(|(_, column)| column))
                }
            };
            let Some(column) = folded else {
                marks.push((mark, Vec::new()));
                continue;
            };
            let place = *seen.entry(mark.clone()).or_insert_with(|| {
                marks.push((mark, Vec::new()));
                marks.len() - 1
            });
            marks[place].1.push(&line.columns[column]);
        }
        marks
            .into_iter()
            .map(|(mark, names)| self.folded(mark, &names))
            .collect()
    }

    fn folded(&self, mark: Mark, names: &[&str]) -> Mark {
        match (mark, names.len()) {
            (mark, 0) => mark,
            (Mark::Word { at, word }, 1) => Mark::Word {
                at,
                word: format!("{word}: {}", names[0]),
            },
            (Mark::Word { at, word }, n) => {
                let more = if n > NAMED { " ..." } else { "" };
                let listed = names[..n.min(NAMED)].join(" ");
                Mark::Word {
                    at,
                    word: format!("{word} x{n}: {listed}{more}"),
                }
            }
            (
                Mark::Arrow {
                    from,
                    to,
                    word,
                    lost,
                },
                n,
            ) => {
                let word = if n == 1 { word } else { format!("{word} x{n}") };
                Mark::Arrow {
                    from,
                    to,
                    word,
                    lost,
                }
            }
        }
    }
}

/// What one step holds.
enum Item<'a> {
    Event(&'a crate::Event),
    /// With how long it took, where that is more than a step.
    Message(&'a crate::Message, String),
}

fn clip(text: &str, room: usize) -> String {
    if text.chars().count() <= room {
        return text.to_owned();
    }
    text.chars()
        .take(room.saturating_sub(1))
        .chain(std::iter::repeat_n('~', room.min(1)))
        .collect()
}

fn length(us: u64) -> String {
    match us {
        0..1_000 => format!("{us}us"),
        1_000..1_000_000 => format!("{}ms", us / 1_000),
        _ => format!("{}.{}s", us / 1_000_000, us / 100_000 % 10),
    }
}

/// How long a message took, in words, where that is more than a step.
fn took(m: &crate::Message, style: &Style) -> String {
    let took = m.arrives.map_or(0, |at| at.saturating_sub(m.sent));
    if took > style.step {
        format!(" +{}", length(took))
    } else {
        String::new()
    }
}

pub(crate) fn draw(line: &Timeline, style: &Style) -> String {
    let page = Page::new(line, style);
    let step = style.step.max(1);
    let mut items: Vec<(u64, Item<'_>)> =
        line.events.iter().map(|e| (e.at, Item::Event(e))).collect();
    for m in &line.messages {
        items.push((m.sent, Item::Message(m, took(m, style))));
    }
    items.sort_by_key(|(at, _)| *at);
    let mut out = String::new();
    let mut write = |start: &str, row: &[char]| {
        let text: String = row.iter().skip(start.chars().count()).collect();
        let whole: String = format!("{start}{text}").trim_end().to_owned();
        let broad = page.width.max(TIMES + page.cell);
        _ = writeln!(out, "{}", clip(&whole, broad));
    };
    let mut head = vec![' '; page.x(page.heads.len())];
    for (place, name) in page.heads.iter().enumerate() {
        let (x, name) = (page.x(place), clip(name, page.cell - 1));
        head.splice(x..x + name.chars().count(), name.chars())
            .for_each(drop);
    }
    write("", &head);
    let mut last: Option<u64> = None;
    let mut rest = &items[..];
    while let Some((at, _)) = rest.first() {
        let begun = at / step * step;
        let count = rest
            .iter()
            .take_while(|(at, _)| at / step * step == begun)
            .count();
        let (now, later) = rest.split_at(count);
        rest = later;
        if let Some(quiet) = last
            .map(|last| begun - last)
            .filter(|quiet| *quiet > style.quiet)
        {
            let mut row = page.empty();
            row.iter_mut().filter(|c| **c == '|').for_each(|c| *c = ':');
            write(&format!(" ~{:>7} ~", length(quiet)), &row);
        }
        last = Some(begun);
        let mut time = format!("{:>9.3} ", begun as f64 / 1e6);
        let (mut row, mut taken) = (page.empty(), Vec::new());
        for mark in page.marks(line, now) {
            let (start, end) = page.span(&mark);
            // Rows are in the order of time: a mark stands beside the one before it, or below.
            if taken.iter().any(|&(s, e)| start < e && s < end) {
                write(&std::mem::take(&mut time), &row);
                (row, taken) = (page.empty(), Vec::new());
            }
            page.put(&mut row, &mark);
            taken.push((start, end));
        }
        write(&time, &row);
    }
    out
}
