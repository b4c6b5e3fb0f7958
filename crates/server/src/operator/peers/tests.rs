//! Validation of the key file.

use super::*;
use std::os::unix::fs::PermissionsExt as _;

#[test]
fn unusable_key_file_is_rejected_with_its_location() {
    let path = std::env::temp_dir().join(format!("oakshed-key-{}", std::process::id()));
    let text = r#"{"listen":"127.0.0.1:7000"}"#;
    let mut peers: PeersConfig = serde_json::from_str(text).expect("defaults for the rest");
    assert_eq!(peers.key().expect("usable"), None);
    peers.key_file = Some(path.clone());
    let rejects = |reason: &str| {
        let error = peers.key().expect_err(reason).to_string();
        assert!(
            error.contains("/peers/key_file") && error.contains(reason),
            "{error}"
        );
    };
    rejects("No such file");
    let write = |key: &str, mode| {
        std::fs::write(&path, key).expect("written");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).expect("set");
    };
    write("0123456789abcdef\n", 0o640);
    rejects("mode 640");
    write("short\n", 0o600);
    rejects("16 bytes");
    write(&"k".repeat(5_000), 0o600);
    rejects("longer");
    write("0123456789abcdef\n", 0o600);
    assert_eq!(
        peers.key().expect("usable"),
        Some(b"0123456789abcdef".to_vec())
    );
    std::fs::remove_file(&path).expect("removed");
}
