//! Tests of the file names under which exclusions are recorded.

use super::*;

#[test]
fn file_names_round_trip_and_foreign_names_are_ignored() {
    for id in ["s-1", "../../etc", "a b\n", "é", "."] {
        assert_eq!(id_of_file(&file_name_of(id)).as_deref(), Some(id));
        assert!(file_name_of(id).bytes().all(|b| b.is_ascii_hexdigit()));
    }
    for name in ["", "7", "zz", "7G", "2E", "ff", ".hidden", "+1"] {
        assert_eq!(id_of_file(name), None, "{name}");
    }
}
