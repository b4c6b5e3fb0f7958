//! Edits of configuration files.

use std::path::Path;

/// Replaces each first text of a pair by the second one.
///
/// Panics if the file does not contain a text that is to be replaced.
pub fn edit(path: &Path, edits: &[(&str, &str)]) {
    let mut text = std::fs::read_to_string(path).expect("a readable configuration");
    for (from, to) in edits {
        assert!(text.contains(from), "{from} is not in the configuration");
        text = text.replace(from, to);
    }
    std::fs::write(path, text).expect("written");
}
