//! Executes the effects of the control actor.

use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender};
use drumshore_control::{Effect, EngineOrder};
use drumshore_core::EngineName;
use drumshore_router::engine_api;
use ureq::Agent;

use super::SharedRegistry;

const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_QUEUED_ORDERS: usize = 256;

struct QueuedOrder {
    engine: EngineName,
    address: String,
    order: EngineOrder,
}

/// Sends messages and replies to their links and operators, and queues orders to engines.
pub(super) struct EffectExecutor {
    registry: SharedRegistry,
    orders: Sender<QueuedOrder>,
}

impl EffectExecutor {
    pub(super) fn new(registry: SharedRegistry) -> Self {
        let (orders, queued) = bounded(MAX_QUEUED_ORDERS);
        let spawned = std::thread::Builder::new()
            .name("engine-orders".to_owned())
            .spawn(move || send_orders(&queued));
        if let Err(error) = spawned {
            tracing::error!(
                "control: cannot spawn the thread that sends orders to engines: {error}"
            );
        }
        Self { registry, orders }
    }

    pub(super) fn execute(&self, effect: Effect) {
        match effect {
            Effect::ToControl(replica, message) => {
                if let Some(sender) = self.registry.lock().controls.get(&replica) {
                    sender.send(message);
                }
            }
            Effect::ToRouter(connection, message) => {
                if let Some(sender) = self.registry.lock().routers.get(&connection) {
                    sender.send(message);
                }
            }
            Effect::Reply(ticket, reply) => {
                if let Some(operator) = self.registry.lock().operators.remove(&ticket) {
                    let _ = operator.send(reply);
                }
            }
            Effect::Order {
                engine,
                address,
                order,
            } => {
                // If the queue is full, the order is dropped; the leader sends it again.
                let _ = self.orders.try_send(QueuedOrder {
                    engine,
                    address,
                    order,
                });
            }
        }
    }
}

fn send_orders(queued: &Receiver<QueuedOrder>) {
    let config = Agent::config_builder()
        .timeout_global(Some(ORDER_TIMEOUT))
        .build();
    let agent = Agent::new_with_config(config);
    while let Ok(queued) = queued.recv() {
        let url = format!("http://{}{}", queued.address, engine_api::ORDERS_PATH);
        let Ok(body) = serde_json::to_vec(&queued.order) else {
            continue;
        };
        match agent.post(url).send(&body[..]) {
            Ok(_) => tracing::info!(
                "control: sent engine {} an order to load model {} version {}",
                queued.engine,
                queued.order.model,
                queued.order.weights_version
            ),
            Err(error) => tracing::warn!(
                "control: cannot send an order to engine {}: {error}",
                queued.engine
            ),
        }
    }
}
