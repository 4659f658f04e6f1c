//! Tests of store positions and fencing tokens.

use proptest::prelude::*;

use super::*;

fn position() -> impl Strategy<Value = StorePosition> {
    let (eras, offsets) = (0..8_192_u64, prop_oneof![0..3_u64, 0..1_u64 << 39]);
    (eras, offsets)
        .prop_map(|(era, offset)| StorePosition { era: Era(era), offset: Offset(offset) })
}

proptest! {
    /// If a start record that the store lost in a restore had the higher token, it would fence a loader that started later.
    #[test]
    fn a_later_position_has_the_higher_token(a in position(), b in position()) {
        prop_assert_eq!(a.cmp(&b), FencingToken::from(a).cmp(&FencingToken::from(b)));
        prop_assert!(FencingToken::from(a).0 > 0);
        // Many readers parse JSON numbers as floating-point numbers, which are exact only up to this bound.
        prop_assert!(FencingToken::from(a).0 < 1 << 53);
    }

    #[test]
    fn any_position_has_a_token_above_zero(era in any::<u64>(), offset in any::<u64>()) {
        let start = StorePosition { era: Era(era), offset: Offset(offset) };
        prop_assert!(FencingToken::from(start).0 > 0);
    }
}
