//! Tests of positions in the store.

use proptest::prelude::*;

use super::*;

fn position() -> impl Strategy<Value = StorePosition> {
    let (eras, offsets) = (0..8_192_u64, prop_oneof![0..3_u64, 0..1_u64 << 39]);
    (eras, offsets)
        .prop_map(|(era, offset)| StorePosition { era: Era(era), offset: Offset(offset) })
}

proptest! {
    /// A loader that started later was fenced by one whose start the store had lost.
    #[test]
    fn what_was_written_later_has_the_higher_token(a in position(), b in position()) {
        prop_assert_eq!(a.cmp(&b), FencingToken::from(a).cmp(&FencingToken::from(b)));
        prop_assert!(FencingToken::from(a).0 > 0);
        // Numbers of JSON are floating-point ones to many readers.
        prop_assert!(FencingToken::from(a).0 < 1 << 53);
    }

    #[test]
    fn any_position_has_a_token(era in any::<u64>(), offset in any::<u64>()) {
        let start = StorePosition { era: Era(era), offset: Offset(offset) };
        prop_assert!(FencingToken::from(start).0 > 0);
    }
}
