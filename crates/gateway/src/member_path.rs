//! Chooses how a call reaches a member: on a connection of this instance, or through another one.

use std::{net::SocketAddr, rc::Rc};

use hibiscusladder_core::{clock::Instant, holder_reach::Path, name::InstanceId};

use crate::{adapter::Platform, pool::Pool};

/// How a call reaches a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberPath {
    /// On a connection of this instance.
    Direct,
    /// Through one of these instances, the preferred one first.
    Through {
        /// Names and tunnel addresses.
        instances: Vec<(InstanceId, SocketAddr)>,
        /// Whether they are standby instances rather than holders.
        are_standbys: bool,
    },
}

/// Chooses the path of a call of the instance `own` that is made now. `addresses` gives the tunnel addresses of those
/// instances that are registered, in the order in which they are to be tried.
pub fn choose<P, F>(own: &InstanceId, pool: &Pool<P>, now: Instant, addresses: F) -> MemberPath
where
    P: Platform,
    F: Fn(&[InstanceId]) -> Vec<(InstanceId, SocketAddr)>,
{
    let Some(holders) = pool.holders() else { return MemberPath::Direct };
    let is_holder = holders.contains(own);
    if is_holder && !pool.holder_reach.borrow().is_cut_off(own, now) {
        return MemberPath::Direct;
    }
    let through = |names: &Rc<[InstanceId]>, are_standbys| {
        let mut instances = addresses(names);
        instances.retain(|(name, _)| name != own);
        (!instances.is_empty()).then_some(MemberPath::Through { instances, are_standbys })
    };
    let path = pool.holder_reach.borrow_mut().path(&holders, now);
    let standbys = pool.standbys();
    let is_usable_standby = standbys.contains(own) && !pool.is_deprioritised(now);
    let chosen = match path {
        Path::Standbys if is_usable_standby => Some(MemberPath::Direct),
        Path::Standbys => through(&standbys, true).or_else(|| through(&holders, false)),
        Path::Holders => through(&holders, false),
    };
    // A holder without another one tries again itself; others have no connection of their own.
    chosen.unwrap_or_else(|| match is_holder {
        true => MemberPath::Direct,
        false => MemberPath::Through { instances: Vec::new(), are_standbys: false },
    })
}
