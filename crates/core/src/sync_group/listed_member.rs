//! Members of a group as they are listed.

use super::Role;
use crate::name::{LogId, MemberId};

/// A member that is listed for a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMember {
    /// Id of the member.
    pub member: MemberId,
    /// The log that it keeps.
    pub log: LogId,
    /// Role that it has published; `None` when it has published none.
    pub published: Option<Role>,
}

/// A member whose log has the same name as itself.
impl From<(MemberId, Option<Role>)> for ListedMember {
    fn from((member, published): (MemberId, Option<Role>)) -> Self {
        let log = LogId::new(member.as_str());
        Self { member, log, published }
    }
}
