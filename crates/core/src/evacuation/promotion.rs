//! Members that are not promoted because their data centre is evacuated.

use crate::{name::MemberId, position::Position};

/// A member that may become the primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionMember {
    /// Id of the member.
    pub member: MemberId,
    /// Whether its data centre is evacuated.
    pub is_evacuated: bool,
    /// End of its log; `None` when it is not known.
    pub received: Option<Position>,
}

/// The evacuated members that must not be promoted.
///
/// Where only evacuated members have the longest log, none is excluded: otherwise a group whose primary fails during an
/// evacuation would have none until the end of the evacuation. The promoted member gets no client work; the others get its
/// log, and one of them replaces it.
pub fn excluded_members(members: &[PromotionMember]) -> Vec<MemberId> {
    let longest = members.iter().filter_map(|member| member.received).max();
    let is_usable = |member: &PromotionMember| !member.is_evacuated && member.received == longest;
    if !members.iter().any(is_usable) {
        return Vec::new();
    }
    let evacuated = members.iter().filter(|member| member.is_evacuated);
    evacuated.map(|member| member.member.clone()).collect()
}
