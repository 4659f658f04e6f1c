//! Newtypes for ids, sizes, rates and positions, each with `Display` and `FromStr`.

mod ids;
mod position;
mod quantity;
mod software;
mod unix_millis;

pub use ids::{
    AdapterName, CallerGroup, Domain, EditId, EndpointId, InstanceId, KeyHash, ModelName, NodePath,
    ParseIdError, RequestId, ServiceName, SettingName, WorkspaceName,
};
pub use position::{
    EndpointIncarnation, Epoch, Era, FencingToken, Incarnation, Offset, ParsePositionError,
    ReplicaIndex, Revision, StorePosition,
};
pub use quantity::{ParseQuantityError, Rate, Size, Span};
pub use software::{ParseVersionError, SoftwareVersion};
pub use unix_millis::UnixMillis;
