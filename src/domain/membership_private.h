/* What the files of the membership share: its state, the views, the messages
 * and the probes. */
#ifndef BR_DOMAIN_MEMBERSHIP_PRIVATE_H
#define BR_DOMAIN_MEMBERSHIP_PRIVATE_H

#include "domain/membership.h"

BR_BEGIN_DECLS

/* Probes made on behalf of others at once. */
#define RELAYS_MAX 64

/* Ticks on which updates are sent to others at once, and the number of others
 * on each. */
#define BR_UPDATE_PUSHES 2
#define BR_UPDATE_FANOUT 3

/* A probe that waits for its answer. */
typedef struct
{
  bool running;
  bool requested; /* others were asked as well */
  br_name_t target;
  uint64_t incarnation; /* of the target when it started */
  uint64_t sequence;
  br_ms_t sent_ms;
  bool acked;
  bool acked_directly;
  bool received_from_us; /* the target told another VM that this one reached it
                          */
} probe_t;

/* A probe made for another VM. */
typedef struct
{
  uint64_t sequence; /* of our ping; 0: free */
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
  relay_t relays[RELAYS_MAX];
  uint64_t last_sequence;
  uint64_t rounds;
  size_t next; /* position in the order of the current cycle of probes */
  bool ticked;
  br_ms_t last_tick_ms;
  br_ms_t next_probe_ms;
  br_ms_t next_sync_ms;
  uint32_t urgent;  /* ticks on which updates are still to be sent at once */
  bool notices_due; /* notices are still to be sent at once */
  size_t sync_from; /* place in the notices at which a transfer goes on */
};

/* Returns the member NAME, or NULL. */
br_member_t *br_membership_member (const br_membership_t *membership,
                                   const br_name_t *name);

/* Adds an output about the VM NAME to the outbox; valid until the next. */
br_membership_output_t *br_membership_output (br_membership_t *membership,
                                              br_membership_output_kind_t kind,
                                              const br_name_t *name);

/* Takes UPDATE into the view of MEMBER, and reports a change. */
void br_member_merge (br_membership_t *membership,
                      br_member_t *member,
                      const br_vm_t *update,
                      br_ms_t now);

/* Adds a message to the outbox; valid until the next output. */
br_domain_message_t *br_membership_send (br_membership_t *membership,
                                         const br_member_t *to,
                                         br_domain_message_kind_t kind);

/* Sends a ping for whose answer nothing waits. */
void br_membership_ping (br_membership_t *membership, const br_member_t *to);

/* MEMBER gave a sign of life in this incarnation and version. */
void br_member_set_up (br_membership_t *membership,
                       br_member_t *member,
                       uint64_t incarnation,
                       uint32_t version,
                       br_ms_t now);

/* The same by name; a view of this VM itself is refuted. */
void br_membership_merge (br_membership_t *membership,
                          const br_vm_t *update,
                          br_ms_t now);

/* Takes in a notice; false when it was known. */
bool br_membership_learn (br_membership_t *membership,
                          const br_notice_t *notice,
                          br_ms_t now);

/* Sends FROM the notices that it may lack. */
void br_membership_compare_notices (br_membership_t *membership,
                                    const br_member_t *from,
                                    const br_domain_message_t *message,
                                    br_ms_t now);

/* Gives a suspect its whole time to refute. */
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

/* Takes the answer to a probe, or to one made for another VM. */
void br_membership_on_ack (br_membership_t *membership,
                           br_member_t *from,
                           const br_domain_message_t *ack,
                           br_ms_t now);

/* Judges the probe of the last period. */
void br_membership_end_probe (br_membership_t *membership, br_ms_t now);

/* Starts the probe of this period. */
void br_membership_start_probe (br_membership_t *membership, br_ms_t now);

/* Asks others to probe the VM that does not answer. */
void br_membership_request_probes (br_membership_t *membership);

/* Holds a suspect to be down once its time has passed. */
void br_member_check_suspicion (br_membership_t *membership,
                                br_member_t *member,
                                br_ms_t now);

/* After a pause of this VM nothing that it waited for has a meaning. */
void br_membership_after_pause (br_membership_t *membership, br_ms_t now);

/* Reports the kind of a link when it is no longer BEFORE. */
void br_membership_set_link (br_membership_t *membership,
                             br_member_t *member,
                             br_link_kind_t before);

BR_END_DECLS

#endif
