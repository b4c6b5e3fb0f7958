//! Tests of how pieces become lines, and of what that costs.

use super::*;

/// Pieces of a length, and the lines that were taken after each.
fn lines_of(text: &[u8], piece_length: usize) -> Vec<Vec<u8>> {
    let mut buffer = LineBuffer::default();
    let mut lines = Vec::new();
    for piece in text.chunks(piece_length) {
        buffer.extend(piece);
        while let Some(line) = buffer.next_line() {
            lines.push(line.to_vec());
        }
    }
    lines
}

#[test]
fn lines_are_the_same_however_the_pieces_are_cut() {
    let text = b"first\n\n \r\nsecond line\nthird\n\nunfinished";
    let expected: [&[u8]; 3] = [b"first\n", b"second line\n", b"third\n"];
    for piece_length in 1..=text.len() {
        assert_eq!(lines_of(text, piece_length), expected);
    }
}

#[test]
fn length_is_that_of_the_unfinished_line() {
    let mut buffer = LineBuffer::default();
    buffer.extend(b"line\nrest");
    assert_eq!(buffer.len(), 9);
    assert_eq!(buffer.next_line(), Some(&b"line\n"[..]));
    assert_eq!(buffer.next_line(), None);
    assert_eq!(buffer.len(), 4);
}

#[test]
fn small_pieces_do_not_move_the_buffer_each_time() {
    let mut buffer = LineBuffer::default();
    let mut moves = 0;
    for _ in 0..65_536 {
        let capacity = buffer.capacity();
        buffer.extend(b"x");
        moves += usize::from(buffer.capacity() != capacity);
    }
    assert_eq!(moves, 65_536 / MIN_GROWTH_BYTES);
    assert_eq!(buffer.capacity(), 65_536);
}
