//! A generational arena: a token becomes invalid when its entry is removed.

use slab::Slab;

/// Number of bits of a token that hold the generation. The slot takes 32 bits, so 4 of the 64 bits are left
/// for other uses.
const GENERATION_BITS: u32 = 28;

/// Identifies one entry of an [`Arena`]. The token of a removed entry stays invalid, even after its slot is
/// reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(u64);

impl Token {
    /// The token of no entry: its slot is never used.
    pub const NONE: Token = Token(u32::MAX as u64);

    /// The token as a number, which is below 2^60.
    pub fn bits(self) -> u64 {
        self.0
    }

    /// Converts a number from [`Token::bits`] back to the token.
    pub fn from_bits(bits: u64) -> Self {
        Token(bits)
    }
}

/// Entries in numbered slots, each with the generation of its insertion.
#[derive(Debug)]
pub struct Arena<T> {
    slab: Slab<(u64, T)>,
    generation: u64,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Arena { slab: Slab::new(), generation: 0 }
    }
}

impl<T> Arena<T> {
    /// Stores the entry that `make` builds from its token.
    pub fn insert_with(&mut self, make: impl FnOnce(Token) -> T) -> Token {
        self.generation = (self.generation + 1) % (1 << GENERATION_BITS);
        let vacant = self.slab.vacant_entry();
        let token = Token(self.generation << 32 | vacant.key() as u64);
        vacant.insert((self.generation, make(token)));
        token
    }

    /// Stores an entry.
    pub fn insert(&mut self, entry: T) -> Token {
        self.insert_with(|_| entry)
    }

    fn slot(token: Token) -> (usize, u64) {
        ((token.0 & 0xffff_ffff) as usize, token.0 >> 32)
    }

    /// The entry, unless it was removed.
    pub fn get(&self, token: Token) -> Option<&T> {
        let (slot, generation) = Self::slot(token);
        self.slab.get(slot).filter(|(g, _)| *g == generation).map(|(_, entry)| entry)
    }

    /// A mutable reference to the entry, unless it was removed.
    pub fn get_mut(&mut self, token: Token) -> Option<&mut T> {
        let (slot, generation) = Self::slot(token);
        self.slab.get_mut(slot).filter(|(g, _)| *g == generation).map(|(_, entry)| entry)
    }

    /// Removes and returns the entry, unless it was removed before.
    pub fn remove(&mut self, token: Token) -> Option<T> {
        self.get(token)?;
        Some(self.slab.remove(Self::slot(token).0).1)
    }

    /// All entries with their tokens.
    pub fn iter(&self) -> impl Iterator<Item = (Token, &T)> {
        self.slab.iter().map(|(slot, (g, entry))| (Token(g << 32 | slot as u64), entry))
    }

    /// Mutable references to all entries, with their tokens.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Token, &mut T)> {
        self.slab.iter_mut().map(|(slot, (g, entry))| (Token(*g << 32 | slot as u64), entry))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.slab.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.slab.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a late event for a closed connection or an ended call that reaches the next entry in
    /// the same slot.
    #[test]
    fn a_token_is_invalid_after_its_entry_is_removed() {
        let mut arena = Arena::default();
        let old = arena.insert("old");
        assert_eq!(arena.remove(old), Some("old"));
        let new = arena.insert("new");
        assert_eq!(old.bits() & 0xffff_ffff, new.bits() & 0xffff_ffff, "the slot is reused");
        assert_eq!(arena.remove(old), None);
        assert_eq!(arena.get(old), None);
        assert_eq!(arena.get(new), Some(&"new"));
    }
}
