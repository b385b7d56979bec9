//! A set of small indices.

const BITS_PER_WORD: usize = u64::BITS as usize;

/// A set of small indices, as a bit mask: it takes 8 bytes for 64 of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct BitSet {
    /// The last word is not 0, so that equal sets have equal words.
    words: Vec<u64>,
}

impl BitSet {
    pub(crate) const fn new() -> BitSet {
        BitSet { words: Vec::new() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    pub(crate) fn contains(&self, index: usize) -> bool {
        let (word, bit) = position(index);
        self.words.get(word).is_some_and(|bits| bits & bit != 0)
    }

    pub(crate) fn insert(&mut self, index: usize) {
        let (word, bit) = position(index);
        if self.words.len() <= word {
            self.words.reserve_exact(word + 1 - self.words.len());
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= bit;
    }

    pub(crate) fn remove(&mut self, index: usize) {
        let (word, bit) = position(index);
        if let Some(bits) = self.words.get_mut(word) {
            *bits &= !bit;
        }
        self.trim();
    }

    /// Whether any index is in both sets.
    pub(crate) fn intersects(&self, other: &BitSet) -> bool {
        let mut pairs = self.words.iter().zip(&other.words);
        pairs.any(|(own, others)| own & others != 0)
    }

    /// The set whose words are made of the words of both.
    pub(crate) fn combine(&self, other: &BitSet, combine: impl Fn(u64, u64) -> u64) -> BitSet {
        let word_of = |set: &BitSet, word: usize| set.words.get(word).copied().unwrap_or(0);
        let count = self.words.len().max(other.words.len());
        let words = (0..count).map(|word| combine(word_of(self, word), word_of(other, word)));
        let mut combined = BitSet {
            words: words.collect(),
        };
        combined.trim();
        combined
    }

    /// The indices in the set, in ascending order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> {
        let words = self.words.iter().enumerate();
        words.flat_map(|(word, &bits)| indices_of_word(word, bits))
    }

    fn trim(&mut self) {
        while self.words.last() == Some(&0) {
            self.words.pop();
        }
    }
}

impl FromIterator<usize> for BitSet {
    fn from_iter<T: IntoIterator<Item = usize>>(indices: T) -> BitSet {
        let mut set = BitSet::new();
        for index in indices {
            set.insert(index);
        }
        set
    }
}

/// The word of an index and its bit there.
fn position(index: usize) -> (usize, u64) {
    (index / BITS_PER_WORD, 1 << (index % BITS_PER_WORD))
}

fn indices_of_word(word: usize, mut bits: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let bit = (bits != 0).then(|| bits.trailing_zeros() as usize)?;
        bits &= bits - 1;
        Some(word * BITS_PER_WORD + bit)
    })
}
