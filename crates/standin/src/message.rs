//! One HTTP message, as scripted peers and raw clients read it. Its head is parsed by httparse.

use std::io::BufRead;

/// The most fields of a message.
const MAX_FIELDS: usize = 64;

/// An HTTP message as it came.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its first line.
    pub first: String,
    /// Its fields.
    pub fields: Vec<(String, String)>,
    /// Its body, of the length in its fields.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    ///
    /// # Panics
    /// Panics when the message is no answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status")
    }

    /// Reads one message; nothing where the connection has ended, or its bytes are no HTTP.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            from.read_until(b'\n', &mut head).ok().filter(|n| *n > 0)?;
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let parsed = if head.starts_with(b"HTTP/") {
            let mut answer = httparse::Response::new(&mut headers);
            answer.parse(&head).ok()?;
            answer.headers
        } else {
            let mut request = httparse::Request::new(&mut headers);
            request.parse(&head).ok()?;
            request.headers
        };
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let fields = parsed
            .iter()
            .map(|h| (h.name.to_owned(), text(h.value)))
            .collect();
        let first = text(head.split(|b| *b == b'\r').next()?);
        let mut message = Message {
            first,
            fields,
            body: Vec::new(),
        };
        let length = message
            .field("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        message.body.resize(length, 0);
        std::io::Read::read_exact(from, &mut message.body).ok()?;
        Some(message)
    }
}
