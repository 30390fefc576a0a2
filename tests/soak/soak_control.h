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

/* Links of a VM that hold back bytes. */
typedef struct
{
  bool to;         /* towards it */
  bool from;       /* from it */
  bool entries;    /* also between it and entry VMs */
  int only;        /* number of the only control VM on the other side; 0: all */
  br_ms_t heal_ms; /* BR_MS_NEVER: not set */
} soak_cut_t;

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

  bool lost;          /* it counts as lost */
  bool empty;         /* it started without its disk */
  br_ms_t term_ms;    /* when SIGTERM is sent, as its successor has started;
                       * BR_MS_NEVER: it stays */
  br_ms_t seeds_ms;   /* when its settings name VMs that are up; BR_MS_NEVER:
                       * they do */
  bool alone;         /* until then, since its start: no VM was named to it */
  br_ms_t outside_ms; /* since when it runs and none of its seeds is up; 0: it
                       * does not, or others may know it */
  br_ms_t vote_ms;    /* when it last said that it has a vote; 0: never */
  br_ms_t gone_ms;    /* when it was found gone for good; 0: not yet */
  bool disk_lost;     /* until it has read the configuration again */
  soak_cut_t cut;
  int side; /* of a split, 0 or 1 */
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

/* The link to a control VM. */
typedef struct
{
  soak_t *soak;
  int number;
  br_relay_link_t *link;
} soak_gate_t;

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
  bool beyond;             /* more are lost than the site tolerates */
  br_ms_t split_until_ms;  /* BR_MS_NEVER: no split */
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
  soak_gate_t gates[SOAK_CONTROLS_MAX];
} soak_control_t;

/* --- soak_control.c --- */

void soak_control_start (soak_t *soak);
void soak_control_free (soak_t *soak);

/* Carries out what is due. */
void soak_control_tick (soak_t *soak);

/* Returns whether the last step may be carried out: in a wide soak, no VM is
 * lost and a change has just been acknowledged. */
bool soak_control_may_close (const soak_t *soak);

/* Carries out the last step: all are killed, and as many disks are lost as may
 * be, in a wide soak possibly without a kill. */
void soak_control_close (soak_t *soak);

/* Returns whether all control VMs are up and none is about to leave. */
bool soak_control_is_quiet (const soak_t *soak);

/* Called when a change was acknowledged. */
void soak_control_on_ack (soak_t *soak);

/* Returns whether the VM belongs to the site: it was started and not replaced.
 */
bool soak_control_is_active (const soak_t *soak, const soak_process_t *vm);

/* Returns whether the VM counts as lost. */
bool soak_control_is_lost (soak_t *soak, const soak_watch_t *watch);

/* Adds to the list of steps and to the log. */
void soak_control_note (soak_t *soak, const char *format, ...) BR_PRINTF (2, 3);

/* Sets NUMBERS to the control VMs that are up and stay, without VM and, if
 * LEADER is false, without the leader.  Returns how many. */
int soak_control_list_live (soak_t *soak,
                            const soak_process_t *vm,
                            bool leader,
                            int *numbers);

/* Sets NUMBERS to the control VMs that are gone for good, also if their
 * addresses were given to others.  Returns how many. */
int soak_control_list_retired (soak_t *soak, int *numbers);

/* Starts an empty control VM after WAIT_MS, with NUMBER or, if that is 0, a new
 * one. */
soak_process_t *soak_control_start_new (soak_t *soak,
                                        const soak_process_t *old,
                                        int number,
                                        br_ms_t wait_ms);

/* Kills the VM for good. */
void soak_control_retire (soak_t *soak, soak_watch_t *target);

/* --- soak_control_seeds.c --- */

/* Moves a random one of the N numbers to OUT.  Returns how many are left. */
int soak_control_take_one (soak_t *soak, int *numbers, int n, int *out);

/* Draws the seeds of a VM: any three that are up, three that do not lead, or a
 * list that lags, in which as many are up as may be lost at once, and the rest
 * are gone; in a wide soak also one in which all are gone.  Its own address
 * fills the list up. */
void soak_seeds_draw (soak_t *soak, soak_process_t *vm);

/* If the settings of an empty VM, which starts after WAIT_MS, name none that is
 * up, sets when they will. */
void soak_seeds_plan (soak_t *soak, soak_watch_t *watch, br_ms_t wait_ms);

const char *soak_seeds_text (const soak_process_t *vm);

/* Writes other seeds into the settings of all VMs; some of them get SIGHUP. */
void soak_seeds_step (soak_t *soak, soak_watch_t *target);

/* Keeps since when a VM that started empty and whose seeds are gone is outside
 * the log, and gives it other seeds when they are due. */
void soak_seeds_tick (soak_t *soak, soak_watch_t *watch, br_ms_t now);

/* --- soak_control_link.c --- */

/* Steps of a wide soak. */
void soak_link_step_cut (soak_t *soak, soak_watch_t *target);
void soak_link_step_split (soak_t *soak, soak_watch_t *target);
void soak_link_step_reuse (soak_t *soak, soak_watch_t *target);
void soak_link_step_stranger (soak_t *soak, soak_watch_t *target);

/* In a wide soak, draws whether the VM, which is down, is silent until its next
 * start instead of refusing connections. */
void soak_link_power_off (soak_t *soak, soak_watch_t *watch);

/* Heals what is due. */
void soak_link_tick (soak_t *soak, br_ms_t now);

/* Heals all. */
void soak_link_heal (soak_t *soak);

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
