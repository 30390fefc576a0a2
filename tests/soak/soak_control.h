/* The soak of the control VMs: replaces, wipes, freezes and kills them in
 * series while operators change and read the configuration, and checks what the
 * operators and the entry VMs see. */
#ifndef BR_TESTS_SOAK_CONTROL_H
#define BR_TESTS_SOAK_CONTROL_H

#include "soak_call.h"

BR_BEGIN_DECLS

/* The platform's bounds, in milliseconds. */
#define SOAK_CATCH_UP_MS 4000
#define SOAK_ACK_MS 4000
#define SOAK_CONFIG_APPLY_MS 2000
#define SOAK_RECOVERY_MS 12000

#define SOAK_WATCHES (SOAK_CONTROLS_MAX + SOAK_ENTRIES)

/* What the operators see of a VM, and what the steps plan for it. */
typedef struct
{
  soak_t *soak;
  soak_process_t *vm;
  struct event *timer;
  soak_call_t *call;
  int stage;        /* which of its pages is read */
  br_ms_t sent_ms;  /* of the call */
  uint64_t floor;   /* version that the call must not read back older */
  br_ms_t read_ms;  /* of the last answer with a configuration, or of the last
                     * request that an entry VM served; 0: none */
  uint64_t version; /* of that configuration, or in force at the entry VM */
  bool ready;       /* of an entry VM */
  bool leads;
  bool agrees;        /* it has a vote and knows the number of VMs as voters */
  bool knows_members; /* its members are the VMs that are up */
  char members[96];   /* their numbers */

  bool lost;       /* it counts as lost */
  bool empty;      /* it started without its disk */
  br_ms_t term_ms; /* when SIGTERM is sent, as its successor has started;
                    * BR_MS_NEVER: it stays */
} soak_watch_t;

typedef struct
{
  br_ms_t ms;
  uint64_t version;
} soak_ack_t;

BR_VEC (soak_acks, soak_ack_t);

/* A VM was back, or its successor had caught up, at FROM_MS. */
typedef struct
{
  br_ms_t from_ms;
  int step;
} soak_window_t;

BR_VEC (soak_windows, soak_window_t);

typedef struct soak_control
{
  int n_controls; /* started so far, the replaced ones included */
  int n_steps;
  br_buf_t steps; /* a line for each step */
  bool steps_stopped;
  bool aimed;              /* the next step follows an acknowledgement */
  br_ms_t next_ms;         /* of the next step; BR_MS_NEVER: not set */
  br_ms_t kill_all_ms;     /* when all are killed, besides the steps */
  br_ms_t excess_until_ms; /* service may be suspended until then: more were
                            * lost than the site tolerates */
  br_random_t random;      /* of the operators */
  struct event *change_timer;
  soak_call_t *change;
  uint64_t version; /* of the change to send, or in progress */
  soak_acks_t acks;
  bool change_failed; /* at the control VM that was asked last */
  bool changes_stop_on_ack;
  bool changes_stopped;
  soak_windows_t windows;
  soak_watch_t watches[SOAK_WATCHES]; /* of control VMs, then of entry VMs */
} soak_control_t;

/* --- soak_control.c --- */

void soak_control_start (soak_t *soak);
void soak_control_free (soak_t *soak);

/* Carries out what is due. */
void soak_control_tick (soak_t *soak);

/* Carries out the last step: all are killed, and one disk is lost or none. */
void soak_control_close (soak_t *soak);

/* Returns whether all control VMs are up and none is about to leave. */
bool soak_control_is_quiet (const soak_t *soak);

/* Called when a change was acknowledged. */
void soak_control_on_ack (soak_t *soak);

/* Returns whether the VM belongs to the site: it was started and not replaced.
 */
bool soak_control_is_active (const soak_t *soak, const soak_process_t *vm);

/* --- soak_control_watch.c --- */

void soak_control_watch_start (soak_t *soak);
void soak_control_watch_vm (soak_t *soak, int number);
void soak_control_watch_tick (soak_t *soak);
void soak_control_watch_free (soak_t *soak);

/* Returns the newest version that was acknowledged before MS, or 0. */
uint64_t soak_control_acked (const soak_t *soak, br_ms_t ms);

/* Returns whether all VMs are up, know each other as voters and read the newest
 * acknowledged configuration, and it is in force at the entry VMs. */
bool soak_control_recovered (const soak_t *soak);

/* Logs what keeps soak_control_recovered from being true. */
void soak_control_explain (soak_t *soak);

/* Checks how often the members changed. */
void soak_control_check_logs (soak_t *soak);

BR_END_DECLS

#endif
