//! The members' serialized form: a list, because each names its endpoint.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serializer};
use units::EndpointId;

use crate::Member;

type Members = BTreeMap<EndpointId, Member>;

pub(crate) fn serialize<S: Serializer>(members: &Members, to: S) -> Result<S::Ok, S::Error> {
    to.collect_seq(members.values())
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Members, D::Error> {
    let list = Vec::<Member>::deserialize(from)?;
    Ok(list.into_iter().map(|m| (m.attach.endpoint.clone(), m)).collect())
}
