//! Rendezvous hashing, with which all instances rank candidates in the same way without exchanging messages.

use std::hash::Hasher;

use siphasher::sip::SipHasher24;

/// Weight of `candidate` for `key`: SipHash-2-4 with a zero key over the parts, each preceded by its length as
/// eight bytes in little-endian order, the candidate last.
///
/// Instances of different versions have to agree on the weights, so the function may not change.
pub fn weight(key: &[&str], candidate: &str) -> u64 {
    let mut hasher = SipHasher24::new();
    for part in key.iter().copied().chain([candidate]) {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part.as_bytes());
    }
    hasher.finish()
}

/// The `count` candidates of highest weight for `key`, in descending order; ties are broken by name.
pub fn highest<'a, I>(key: &[&str], candidates: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let weighted = candidates.into_iter().map(|name| (weight(key, name), name));
    let mut ranked: Vec<_> = weighted.collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, name)| name).collect()
}
