//! Steps of a failover that call the store or the platform.

use std::rc::Rc;

use hibiscusladder_core::{
    name::{LogId, MemberId},
    position::Term,
    sync_group::{ClaimGrant, PromotionRecord},
};
use serde_json::json;

use crate::{
    adapter::{Platform, Promoter},
    events::{self, Event},
    failover_claim::ClaimError,
    group_logs::LogHost,
    group_state::GroupState,
    metrics::Counter,
    node::Node,
    promotion_records::RecordHost,
};

/// Records the era of the store in the failover of the group, and logs if its claim is lost.
pub(super) fn observe_era<P>(node: &Node<P>, group: &GroupState)
where
    P: Platform,
{
    let era = node.store_era.known();
    if group.failover.borrow_mut().observe_era(era) {
        let fields = json!({ "group": group.name.as_str(), "step": "withdraw", "era": era });
        events::log(Event::FailoverStep, fields);
        node.metrics.count(Counter::PromotionRecords, "claim_lost");
    }
}

/// Claims the failover of the group, reads which logs it has, and reports the answer.
pub(super) async fn claim<P>(node: &Node<P>, group: &Rc<GroupState>, term: Term)
where
    P: Platform,
{
    let mut granted = node.claims().claim(&group.name, term).await;
    if granted.is_ok()
        && let Err(error) = node.logs().read_for(group).await
    {
        granted = Err(ClaimError::LogsUnknown(error));
    }
    let absent = group.view.borrow().absent_logs();
    let absent: Vec<&str> = absent.iter().map(LogId::as_str).collect();
    let mut fields = json!({ "group": group.name.as_str(), "step": "claim", "absent": absent });
    events::extend(
        &mut fields,
        match &granted {
            Ok(granted) => json!({ "generation": granted.grant.generation }),
            Err(error) => json!({ "generation": null, "reason": error.to_string() }),
        },
    );
    events::log(Event::FailoverStep, fields);
    observe_era(node, group);
    group.failover.borrow_mut().claimed(granted.ok(), node.now());
    node.evaluate_now.notify(usize::MAX);
}

/// Renews the claim, with a promotion if there is one, and reports the answer.
pub(super) async fn renew<P>(node: &Node<P>, group: &GroupState, promotion: Option<PromotionRecord>)
where
    P: Platform,
{
    let grant = node.claims().renew(&group.name, promotion.as_ref()).await;
    let mut fields = json!({
        "group": group.name.as_str(), "step": "renew",
        "generation": grant.map(|grant| grant.generation),
    });
    if let Some(promotion) = &promotion {
        let (member, position) = (promotion.member.as_str(), promotion.position.to_string());
        events::extend(&mut fields, json!({ "member": member, "position": position }));
    }
    events::log(Event::FailoverStep, fields);
    observe_era(node, group);
    group.failover.borrow_mut().renewed(grant, node.now());
    node.evaluate_now.notify(usize::MAX);
}

/// Promotes `member` while the claim is valid and the store has not lost it.
pub(super) async fn promote<P>(
    node: &Node<P>,
    group: &GroupState,
    member: &MemberId,
    grant: ClaimGrant,
) where
    P: Platform,
{
    if grant.era() < node.store_era.known() {
        return;
    }
    let promoted = node.promoter.promote(&group.name, member, node.instance(), grant).await;
    let outcome = match &promoted {
        Ok(()) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    };
    events::log(
        Event::FailoverStep,
        json!({
            "group": group.name.as_str(), "step": "promote", "member": member.as_str(),
            "generation": grant.generation, "outcome": outcome,
        }),
    );
}
