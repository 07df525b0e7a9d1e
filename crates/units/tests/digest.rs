//! Content digests.

use pimento_units::Digest;

fn of(parts: &[&str]) -> Digest {
    Digest::of(parts.iter().map(|part| part.as_bytes()))
}

/// A caller must not be able to forge another request's digest by shifting the boundary between two
/// parts.
#[test]
fn a_digest_depends_on_where_parts_end() {
    assert_eq!(of(&["garage", "/chat"]), of(&["garage", "/chat"]));
    assert_ne!(of(&["garage", "/chat"]), of(&["garage/", "chat"]));
    assert_ne!(of(&["garage"]), of(&["garage", ""]));
}

#[test]
fn a_digest_parses_from_its_text() {
    let digest = of(&["a"]);
    assert_eq!(digest.to_string().parse(), Ok(digest));
    for text in ["", "12", &"g".repeat(32), &format!("+{}", "1".repeat(31))] {
        assert!(text.parse::<Digest>().is_err(), "{text:?}");
    }
}
