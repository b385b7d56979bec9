//! Which endpoints are considered for a request of an additional function: those that list it.
//!
//! An endpoint may list hundreds of functions, and a worker names them one by one, so the list changes
//! hundreds of times while it connects. To sort all endpoints for each function at each change would
//! take seconds where many workers connect at once. So the order of a function is made when a request
//! needs it, and is kept until an endpoint lists the function, no longer lists it, or changes in
//! any other way.

use super::Balancer;
use super::preference::PreferenceOrder;
use crate::api::{EndpointId, FunctionId, FunctionSet, RequestId, Settings};
use crate::bit_set::BitSet;
use crate::state::{BalancerState, Endpoint, Request};

/// The endpoints that list a function.
#[derive(Default)]
struct FunctionOrder {
    order: PreferenceOrder,
    /// The same endpoints, by the indices of their ids.
    members: BitSet,
}

/// The preference orders of the additional functions.
pub(super) struct FunctionOrders {
    /// By function; `None` if the order is not made, or out of date.
    orders: Vec<Option<FunctionOrder>>,
    /// The functions of each class.
    of_class: Vec<FunctionSet>,
}

impl FunctionOrders {
    pub(super) fn new(settings: &Settings) -> FunctionOrders {
        let functions_of = |class| {
            let functions = settings.functions.iter().enumerate();
            functions
                .filter(|(_, class_of_function)| class_of_function.0 == class)
                .map(|(index, _)| FunctionId(index))
                .collect()
        };
        FunctionOrders {
            orders: settings.functions.iter().map(|_| None).collect(),
            of_class: (0..settings.classes.len()).map(functions_of).collect(),
        }
    }

    pub(super) fn discard_all(&mut self) {
        self.orders.fill_with(|| None);
    }

    pub(super) fn discard(&mut self, functions: &FunctionSet) {
        for function in functions.iter() {
            if let Some(order) = self.orders.get_mut(function.0) {
                *order = None;
            }
        }
    }
}

/// The endpoints below their limit on concurrent requests, while the queue is served. They bound the
/// work per event, which would otherwise grow with the number of functions that requests wait for,
/// times the number of endpoints.
#[derive(Default)]
pub(super) struct EndpointsWithRoom(Option<BitSet>);

impl EndpointsWithRoom {
    fn get(&mut self, state: &BalancerState) -> &BitSet {
        self.0.get_or_insert_with(|| {
            let endpoints = state.endpoints.iter().enumerate();
            let with_room = endpoints.filter(|(_, endpoint)| has_room(endpoint));
            with_room.map(|(index, _)| index).collect()
        })
    }

    /// Updates the set after a request was sent to this endpoint.
    pub(super) fn record_send(&mut self, state: &BalancerState, id: EndpointId) {
        if let Some(endpoints) = &mut self.0
            && !has_room(state.endpoint(id))
        {
            endpoints.remove(id.index());
        }
    }
}

fn has_room(endpoint: &Endpoint) -> bool {
    let limit = endpoint.max_concurrent;
    limit.is_none_or(|limit| endpoint.own_attempts < limit as usize)
}

impl Balancer {
    /// Makes the order of the request's function, if it has an additional one and the order is not
    /// made yet.
    pub(super) fn prepare_order(&mut self, function: Option<FunctionId>) {
        let Some(function) = function else {
            return;
        };
        if self.function_orders.orders[function.0].is_none() {
            let order = self.order_of_function(function);
            self.function_orders.orders[function.0] = Some(order);
        }
    }

    /// The endpoints that may serve a request, in the order in which they are considered.
    pub(super) fn order_for(&self, request: &Request) -> &PreferenceOrder {
        match request.function {
            None => &self.preferences[request.class.0],
            Some(function) => self.function_orders.orders[function.0]
                .as_ref()
                .map_or(PreferenceOrder::empty(), |function| &function.order),
        }
    }

    fn order_of_function(&self, function: FunctionId) -> FunctionOrder {
        let class = &self.settings.classes[self.settings.functions[function.0].0];
        let may_serve = |id: &EndpointId| {
            let endpoint = self.state.endpoint(*id);
            endpoint.functions.contains(function) && class.allows_zone(endpoint.zone)
        };
        let mut endpoints = self.ready_by_name();
        endpoints.retain(may_serve);
        FunctionOrder {
            order: self.preference_order(class, &endpoints),
            members: endpoints.iter().map(|id| id.index()).collect(),
        }
    }

    /// Whether an endpoint may have room for a queued request, by these endpoints with room. Without
    /// an additional function, and where endpoints are asked for their load, this is left to the
    /// selection.
    pub(super) fn may_have_room(
        &mut self,
        id: RequestId,
        with_room: &mut EndpointsWithRoom,
    ) -> bool {
        let Some(function) = self.state.requests[&id].function else {
            return true;
        };
        if self.reports_are_current() {
            return true;
        }
        self.prepare_order(Some(function));
        let order = self.function_orders.orders[function.0].as_ref();
        order.is_some_and(|order| order.members.intersects(with_room.get(&self.state)))
    }

    /// The number of endpoints that may serve a class, by its kinds or by any of its functions.
    pub(super) fn count_endpoints_of_class(&self, index: usize, ready: &[EndpointId]) -> usize {
        let class = &self.settings.classes[index];
        let functions = &self.function_orders.of_class[index];
        let may_serve = |id: &&EndpointId| {
            let endpoint = self.state.endpoint(**id);
            let lists_function = || endpoint.functions.intersects(functions);
            class.allows(endpoint.zone, endpoint.kind)
                || class.allows_zone(endpoint.zone) && lists_function()
        };
        ready.iter().filter(may_serve).count()
    }
}
