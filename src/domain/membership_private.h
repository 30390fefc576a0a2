/* Shared by the source files of the membership: its state, and the functions on
 * views, messages and probes. */
#ifndef BR_DOMAIN_MEMBERSHIP_PRIVATE_H
#define BR_DOMAIN_MEMBERSHIP_PRIVATE_H

#include "domain/membership.h"

BR_BEGIN_DECLS

/* Maximum number of probes on behalf of other VMs at a time; the oldest is
 * replaced. */
#define BR_MEMBERSHIP_RELAYS_MAX 64

/* Number of ticks on which an urgent update is pushed without waiting for a
 * probe, and number of VMs that each push goes to. */
#define BR_UPDATE_PUSHES 2
#define BR_UPDATE_FANOUT 3

/* The probe of the current period. */
typedef struct
{
  bool running;
  bool requested; /* other VMs were requested to probe too */
  br_name_t target;
  uint64_t incarnation; /* of the target when the probe started */
  uint64_t sequence;
  br_ms_t sent_ms;
  bool acked;
  bool acked_directly;
  bool received_from_us; /* target reported a message from this VM */
} probe_t;

/* A probe on behalf of another VM. */
typedef struct
{
  uint64_t sequence; /* of the ping to the target; 0: free */
  br_name_t origin;
  uint64_t origin_sequence;
  br_name_t target;
  br_ms_t sent_ms;
} relay_t;

struct br_membership
{
  br_vm_t self;
  br_name_t failure_domain;
  br_random_t random;
  br_members_t members;
  br_notices_t notices;
  br_membership_outputs_t outbox;
  probe_t probe;
  relay_t relays[BR_MEMBERSHIP_RELAYS_MAX];
  uint64_t last_sequence;
  uint64_t rounds;
  size_t next; /* position in the order of the current cycle of probes */
  bool ticked;
  br_ms_t last_tick_ms;
  br_ms_t next_probe_ms;
  br_ms_t next_sync_ms;
  uint32_t urgent;      /* ticks on which updates are still to be pushed */
  bool notices_due;     /* urgent notices are still to be pushed */
  size_t sync_position; /* in the notices, where the next transfer starts */
};

/* Returns the member NAME, or NULL. */
br_member_t *br_membership_member (const br_membership_t *membership,
                                   const br_name_t *name);

/* Adds an output about the VM NAME to the outbox.  The pointer is valid until
 * the next output. */
br_membership_output_t *br_membership_output (br_membership_t *membership,
                                              br_membership_output_kind_t kind,
                                              const br_name_t *name);

/* Merges UPDATE into the view of MEMBER and reports a change. */
void br_member_merge (br_membership_t *membership,
                      br_member_t *member,
                      const br_vm_t *update,
                      br_ms_t now);

/* Adds a message to the outbox, with pending views, and with pending notices
 * unless KIND is BR_DOMAIN_NOTICES.  The pointer is valid until the next
 * output. */
br_domain_message_t *br_membership_send (br_membership_t *membership,
                                         const br_member_t *to,
                                         br_domain_message_kind_t kind);

/* Sends a ping whose answer is not awaited. */
void br_membership_ping (br_membership_t *membership, const br_member_t *to);

/* Marks MEMBER as up in this incarnation and version. */
void br_member_set_up (br_membership_t *membership,
                       br_member_t *member,
                       uint64_t incarnation,
                       uint32_t version,
                       br_ms_t now);

/* Merges UPDATE into the view of the VM that it names.  A view of this VM as
 * suspect or down is refuted. */
void br_membership_merge (br_membership_t *membership,
                          const br_vm_t *update,
                          br_ms_t now);

/* Adds and reports a notice.  Returns false when the set holds it or it has
 * expired. */
bool br_membership_add_notice (br_membership_t *membership,
                               const br_notice_t *notice,
                               br_ms_t now);

/* Sends notices to FROM when the digest in its MESSAGE shows that its set
 * differs. */
void br_membership_compare_notices (br_membership_t *membership,
                                    const br_member_t *from,
                                    const br_domain_message_t *message,
                                    br_ms_t now);

/* Starts the time in which a suspect can refute the suspicion. */
void br_member_start_suspicion (br_member_t *member, br_ms_t now);

/* Returns a random member that is up, or NULL. */
br_member_t *br_membership_random_up (br_membership_t *membership);

/* Answers a ping. */
void br_membership_answer (br_membership_t *membership,
                           const br_member_t *from,
                           const br_domain_message_t *ping,
                           br_ms_t now);

/* Probes a VM on behalf of FROM. */
void br_membership_relay (br_membership_t *membership,
                          const br_member_t *from,
                          const br_domain_message_t *request,
                          br_ms_t now);

/* Processes the answer to the current probe, or to one on behalf of another
 * VM. */
void br_membership_on_ack (br_membership_t *membership,
                           br_member_t *from,
                           const br_domain_message_t *ack,
                           br_ms_t now);

/* Ends the probe of the last period, and makes its target a suspect when nobody
 * reached it. */
void br_membership_end_probe (br_membership_t *membership, br_ms_t now);

/* Starts the probe of this period. */
void br_membership_start_probe (br_membership_t *membership, br_ms_t now);

/* Requests other VMs to probe the target that does not answer. */
void br_membership_request_probes (br_membership_t *membership);

/* Marks a suspect as down once its time to refute has passed. */
void br_member_check_suspicion (br_membership_t *membership,
                                br_member_t *member,
                                br_ms_t now);

/* Discards the current probe and restarts the suspicions after a pause of this
 * VM.  Their timeouts ran out while it could not receive answers. */
void br_membership_reset_after_pause (br_membership_t *membership, br_ms_t now);

/* Reports the kind of a link when it is no longer BEFORE. */
void br_membership_set_link (br_membership_t *membership,
                             br_member_t *member,
                             br_link_kind_t before);

BR_END_DECLS

#endif
