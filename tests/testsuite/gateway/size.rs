//! Classes of sizes.

use cinderspoke_core::gateway::size::Class;

#[yare::parameterized(
    none = { 0, 900, Class::Half }, half = { 450, 900, Class::Half },
    above_half = { 451, 900, Class::Usual }, usual = { 900, 900, Class::Usual },
    above = { 901, 900, Class::Double }, double = { 1800, 900, Class::Double },
    beyond = { 1801, 900, Class::Beyond }, most = { u64::MAX, u64::MAX, Class::Usual },
    nothing_usual = { 1, 0, Class::Beyond }, nothing = { 0, 0, Class::Half },
)]
fn a_size_has_a_class_by_what_is_usual(size: u64, usual: u64, class: Class) {
    assert_eq!(Class::of(size, usual), class);
}
