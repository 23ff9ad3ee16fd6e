//! Discovery, and the datagrams between schedulers.

use super::*;

impl Environment {
    /// Publishes the state of a worker in discovery: 0 ready, 1 draining, 2 gone.
    pub(super) fn publish_worker_state(&mut self, n: usize, state: u8) {
        let worker = &self.workers[n];
        self.discovery_events.push((n, worker.uid, state, worker.started_ms));
    }

    pub(super) fn serve_discovery(&mut self) -> std::io::Result<()> {
        let heartbeat_due = self.now >= self.next_heartbeat;
        if heartbeat_due {
            self.next_heartbeat = self.now + SECOND;
        }
        for (n, bus) in self.buses.iter_mut().enumerate() {
            while let Ok((stream, _)) = bus.listener.accept() {
                stream.set_nonblocking(true)?;
                bus.clients.push((stream, None));
            }
            if self.internal_faults.bus_is_faulty(n) {
                self.internal_faults.last_bus_fault = self.now;
            }
            if self.internal_faults.bus_closes.contains(&n) {
                bus.clients.clear();
            }
            let silent = self.internal_faults.bus_silent.contains(&n);
            let (events, workers) = (&self.discovery_events, &self.workers);
            bus.clients.retain_mut(|(stream, sent_offset)| {
                let mut offset_bytes = [0; 8];
                match stream.read(&mut offset_bytes) {
                    Ok(8) if sent_offset.is_none() => *sent_offset = Some(u64::from_be_bytes(offset_bytes)),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    _ => return false,
                }
                let Some(sent_offset) = sent_offset.as_mut().filter(|_| !silent) else { return true };
                let mut out = vec![];
                // Offset 1 is in the configuration.
                for (offset, (worker, uid, state, started)) in
                    (2..).zip(events).filter(|(offset, _)| *offset > *sent_offset)
                {
                    out.extend(stand_ins::change(
                        offset,
                        *uid,
                        workers[*worker].addresses[n],
                        *state,
                        *started,
                    ));
                }
                *sent_offset = (*sent_offset).max(events.len() as u64 + 1);
                if heartbeat_due {
                    out.extend(9u32.to_be_bytes());
                    out.extend([0; 9]);
                }
                out.is_empty() || stream.write_all(&out).is_ok()
            });
        }
        Ok(())
    }

    pub(super) fn forward_datagrams(&mut self) {
        let mut bytes = [0; 65_536];
        for link in &mut self.peer_links {
            let (one, other) = link.pair;
            let (forward, backward) = (self.peer_conditions[one][other], self.peer_conditions[other][one]);
            let sides = [
                (&link.sockets.0, &mut link.forward, forward),
                (&link.sockets.1, &mut link.backward, backward),
            ];
            for (socket, datagrams, condition) in sides {
                while let Ok((size, _)) = socket.recv_from(&mut bytes) {
                    self.datagrams = (self.datagrams.0 + 1, self.datagrams.1 + size as u64);
                    datagrams.put(self.now, &bytes[..size], &condition, &mut self.rng);
                }
            }
            for datagram in link.forward.take(self.now) {
                let _ = link.sockets.1.send_to(&datagram, self.peer_addresses[other]);
            }
            for datagram in link.backward.take(self.now) {
                let _ = link.sockets.0.send_to(&datagram, self.peer_addresses[one]);
            }
        }
    }
}
