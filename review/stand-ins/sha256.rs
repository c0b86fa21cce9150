//! SHA-256 (FIPS 180-4), for the digests of pieces.

const INITIAL: [u32; 8] = [
    0x6a09_e667,
    0xbb67_ae85,
    0x3c6e_f372,
    0xa54f_f53a,
    0x510e_527f,
    0x9b05_688c,
    0x1f83_d9ab,
    0x5be0_cd19,
];

/// Returns the digest of some bytes in hex.
pub fn hex(bytes: &[u8]) -> String {
    let constants = round_constants();
    let mut message = bytes.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend((bytes.len() as u64 * 8).to_be_bytes());
    let mut state = INITIAL;
    for block in message.chunks_exact(64) {
        compress(&mut state, block, &constants);
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}

/// The first 32 bits of the fractional parts of the cube roots of the first 64 primes.
fn round_constants() -> [u32; 64] {
    let mut constants = [0; 64];
    let is_prime = |number: &u128| (2..*number).all(|divisor| number.rem_euclid(divisor) != 0);
    for (constant, prime) in constants.iter_mut().zip((2..).filter(is_prime)) {
        *constant = cube_root(prime << 96) as u32;
    }
    constants
}

/// The whole part of a cube root, below 2^40.
fn cube_root(number: u128) -> u128 {
    let (mut low, mut high) = (0_u128, 1 << 40);
    while high - low > 1 {
        let middle = (low + high) / 2;
        if middle * middle * middle <= number { low = middle } else { high = middle }
    }
    low
}

fn compress(state: &mut [u32; 8], block: &[u8], constants: &[u32; 64]) {
    let mut words = [0_u32; 64];
    for (word, bytes) in words.iter_mut().zip(block.chunks_exact(4)) {
        *word = bytes.iter().fold(0, |word, byte| word << 8 | u32::from(*byte));
    }
    for at in 16..64 {
        let (early, late) = (words[at - 15], words[at - 2]);
        let first = early.rotate_right(7) ^ early.rotate_right(18) ^ (early >> 3);
        let second = late.rotate_right(17) ^ late.rotate_right(19) ^ (late >> 10);
        words[at] =
            words[at - 16].wrapping_add(first).wrapping_add(words[at - 7]).wrapping_add(second);
    }
    let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut h] = *state;
    for (word, constant) in words.iter().zip(constants) {
        let first = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
        let choice = (e & f) ^ (!e & g);
        let one =
            h.wrapping_add(first).wrapping_add(choice).wrapping_add(*constant).wrapping_add(*word);
        let second = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
        let two = second.wrapping_add((a & b) ^ (a & c) ^ (b & c));
        (h, g, f, e, d, c, b, a) = (g, f, e, d.wrapping_add(one), c, b, a, one.wrapping_add(two));
    }
    for (word, new) in state.iter_mut().zip([a, b, c, d, e, f, g, h]) {
        *word = word.wrapping_add(new);
    }
}
