//! Admission control for members: packets with implausible identities, or with more members than
//! the limit permits, are rejected before foca stores any of them.

use foca::{Header, Member};

use super::types::Identity;
use super::Membership;
use crate::datagram::DatagramError;
use crate::rows::{Owner, MAX_NAME_LENGTH};

impl Membership {
    /// Checks a foca packet, and returns its header.
    pub(super) fn check_packet(
        &self,
        from: &Owner,
        bytes: &[u8],
    ) -> Result<Header<Identity>, DatagramError> {
        let (header, rest) = postcard::take_from_bytes::<Header<Identity>>(bytes)
            .map_err(|_| DatagramError::Malformed)?;
        if header.src.owner != *from {
            return Err(DatagramError::Implausible);
        }
        let mut named = vec![header.src.clone()];
        if let Some((count, mut rest)) = rest.split_first_chunk::<2>() {
            for _ in 0..u16::from_be_bytes(*count) {
                let (member, after) = postcard::take_from_bytes::<Member<Identity>>(rest)
                    .map_err(|_| DatagramError::Malformed)?;
                named.push(member.id().clone());
                rest = after;
            }
        }
        self.check_admission(named)?;
        Ok(header)
    }

    /// Checks that all of these members are plausible, and that they fit within the limit.
    pub(super) fn check_admission(&self, mut named: Vec<Identity>) -> Result<(), DatagramError> {
        if !named.iter().all(is_plausible) {
            return Err(DatagramError::Implausible);
        }
        let known = self.known();
        if known + named.len() <= self.max_members {
            return Ok(());
        }
        named.sort();
        named.dedup_by_key(|id| id.address);
        named.retain(|id| !self.is_known(id));
        if known + named.len() > self.max_members {
            return Err(DatagramError::Implausible);
        }
        Ok(())
    }

    fn is_known(&self, id: &Identity) -> bool {
        self.foca
            .iter_membership_state()
            .any(|member| member.id().address == id.address)
    }
}

/// Whether a member has a valid name and a usable address.
fn is_plausible(id: &Identity) -> bool {
    let name = &id.owner.name;
    let has_name = !name.is_empty() && name.len() <= MAX_NAME_LENGTH;
    has_name && !id.address.ip().is_unspecified() && id.address.port() != 0
}
