//! Digests of contents.

use pimento_units::Digest;

fn of(parts: &[&str]) -> Digest {
    Digest::of(parts.iter().map(|part| part.as_bytes()))
}

/// Guards against one caller making a request that looks like another's by moving where parts end.
#[test]
fn a_digest_knows_where_parts_end() {
    assert_eq!(of(&["garage", "/chat"]), of(&["garage", "/chat"]));
    assert_ne!(of(&["garage", "/chat"]), of(&["garage/", "chat"]));
    assert_ne!(of(&["garage"]), of(&["garage", ""]));
}

#[test]
fn a_digest_is_read_as_it_is_written() {
    let digest = of(&["a"]);
    assert_eq!(digest.to_string().parse(), Ok(digest));
    for text in ["", "12", &"g".repeat(32), &format!("+{}", "1".repeat(31))] {
        assert!(text.parse::<Digest>().is_err(), "{text:?}");
    }
}
