//! What makes a tree valid.

use units::NodePath;

use crate::apply::{ApplyError, MAX_NODES};
use crate::node::{Node, Nodes};
use crate::{NodeKind, Settings, table};

/// The most nodes from the root to a leaf.
const MAX_DEPTH: usize = 12;

/// Checks that a path is in its usual form.
pub(crate) fn path(path: &NodePath) -> Result<(), ApplyError> {
    let text = path.as_str();
    let invalid = |cause: &str| Err(ApplyError::invalid(path, cause));
    let Some(rest) = text.strip_prefix('/') else {
        return invalid("a path begins with `/`");
    };
    if !rest.is_empty() && rest.split('/').any(str::is_empty) {
        return invalid("a path has one `/` between two names and none at the end");
    }
    if rest.contains('@') {
        return invalid("`@` is kept for versions; leave it out of names");
    }
    if rest.split('/').count() > MAX_DEPTH {
        return invalid("more than 12 levels; put the node further up");
    }
    Ok(())
}

/// Checks one setting of one node and puts its value among settings.
pub(crate) fn value(
    path: &NodePath,
    kind: NodeKind,
    name: &str,
    value: &serde_json::Value,
    settings: &mut Settings,
) -> Result<(), ApplyError> {
    let Some(setting) = table::setting(name) else {
        return Err(ApplyError::invalid(path, unknown_setting(name)));
    };
    if !setting.kinds.contains(&kind) {
        let kinds: Vec<String> = setting.kinds.iter().map(ToString::to_string).collect();
        let cause =
            format!("`{name}` can't be set on a {kind}; it belongs on a {}", kinds.join(" or "));
        return Err(ApplyError::invalid(path, cause));
    }
    setting
        .put(settings, value)
        .map_err(|cause| ApplyError::invalid(path, format!("`{name}`: {cause}")))
}

fn unknown_setting(name: &str) -> String {
    let names = table::table().iter().map(|setting| setting.name);
    let nearest = names.max_by(|a, b| strsim::jaro(name, a).total_cmp(&strsim::jaro(name, b)));
    format!("there is no setting `{name}`; did you mean `{}`?", nearest.unwrap_or_default())
}

/// Checks that there are not too many nodes.
pub(crate) fn size(nodes: &Nodes) -> Result<(), ApplyError> {
    if nodes.len() <= MAX_NODES {
        return Ok(());
    }
    let cause = format!("{} nodes; a tree may have {MAX_NODES}", nodes.len());
    Err(ApplyError::invalid(&NodePath::root(), cause))
}

/// Checks that a node's kind fits the node above.
pub(crate) fn place(nodes: &Nodes, path: &NodePath, node: &Node) -> Result<(), ApplyError> {
    let Some(parent) = path.parent() else { return Ok(()) };
    let above = nodes.get(&parent).map(|node| node.kind);
    let fits = match node.kind {
        NodeKind::Branch | NodeKind::Model | NodeKind::Service => above == Some(NodeKind::Branch),
        NodeKind::Adapter | NodeKind::Version => above == Some(NodeKind::Model),
    };
    if fits {
        return Ok(());
    }
    let right = match node.kind {
        NodeKind::Adapter | NodeKind::Version => NodeKind::Model,
        _ => NodeKind::Branch,
    };
    Err(ApplyError::invalid(path, format!("a {} can only be below a {right}", node.kind)))
}

/// Checks what concerns more than one setting in force at a node.
pub(crate) fn bounds(
    nodes: &Nodes,
    path: &NodePath,
    node: &Node,
    settings: &Settings,
) -> Result<(), ApplyError> {
    let (least, most) = (settings.replicas_least, settings.replicas_most);
    let loaded = matches!(node.kind, NodeKind::Branch | NodeKind::Model);
    if loaded && least > most {
        let cause = format!(
            "`replicas-least` {least} is above `replicas-most` {most}; lower one or raise the other"
        );
        return Err(ApplyError::invalid(path, cause));
    }
    let served = matches!(node.kind, NodeKind::Model | NodeKind::Service);
    if served && settings.service.is_none() {
        let cause = "`service` is set neither here nor above; name the service whose endpoints may serve it";
        return Err(ApplyError::invalid(path, cause));
    }
    if node.kind == NodeKind::Model {
        version(nodes, path, &settings.version)?;
        windows(path, settings)?;
    }
    Ok(())
}

fn version(nodes: &Nodes, path: &NodePath, version: &str) -> Result<(), ApplyError> {
    if version.is_empty() {
        return Ok(());
    }
    let child = path.child(version).ok().and_then(|child| nodes.get(&child));
    if child.is_some_and(|node| node.kind == NodeKind::Version) {
        return Ok(());
    }
    let cause = format!(
        "`version` names `{version}`, but there is no version of that name below the model"
    );
    Err(ApplyError::invalid(path, cause))
}

fn windows(path: &NodePath, settings: &Settings) -> Result<(), ApplyError> {
    let most = settings.replicas_most;
    let needy = settings.windows.iter().find(|window| window.replicas > most);
    let Some(window) = needy else { return Ok(()) };
    let cause = format!(
        "the window `{}` needs {} replicas, but `replicas-most` is {most}; raise it or ask for fewer",
        window.opens, window.replicas
    );
    Err(ApplyError::invalid(path, cause))
}
