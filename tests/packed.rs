//! The compressed form in which boxes send a configuration's text to each other.

use magpiemoor::gateway::shell::packed::PackedText;
use proptest::prelude::*;
use rstest::rstest;

fn packed(text: &str) -> PackedText {
    PackedText::pack(text).unwrap()
}

proptest! {
    #[test]
    fn a_text_comes_out_as_it_went_in(text in ".{0,400}") {
        prop_assert_eq!(packed(&text).unpack().unwrap(), text);
    }

    #[test]
    fn any_bytes_are_unpacked_or_refused(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        text_bytes in 0_u32..1_000,
    ) {
        let text = PackedText { text_bytes, bytes: bytes.into() };
        if let Ok(text) = text.unpack() {
            prop_assert_eq!(text.len(), text_bytes as usize);
        }
    }
}

/// A few bytes that unpack to many would exhaust a box's memory.
#[rstest]
#[case::shorter(10)]
#[case::longer(5_000)]
#[case::too_long(u32::MAX)]
fn a_text_of_another_length_than_named_is_refused(#[case] text_bytes: u32) {
    let text = PackedText {
        text_bytes,
        ..packed(&"a".repeat(4_000))
    };
    assert!(text.unpack().is_err());
}

#[test]
fn routes_take_a_sixth_of_their_text_or_less() {
    let route = |n: u64| {
        // Names that compress as badly as random ones.
        let word = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            "{{\"name\":\"r-{word:016x}\",\"host\":\"shop.example\",\"path_prefix\":\"/{n}/\",\
             \"timeout_ms\":800,\"objective_ms\":120,\"attempts\":2,\"anonymous\":false,\
             \"service\":\"tills\",\"kind\":\"safe\",\"rank\":2}},"
        )
    };
    let text: String = (0..1_400).map(route).collect();
    assert!(packed(&text).bytes.len() * 6 <= text.len());
}
