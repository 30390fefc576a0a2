/* Simulates the contracts of several entry VMs with one clock, a network that a
 * test can disturb and an engine on each VM that generates tokens.  For C and
 * C++; header only. */
#ifndef TESTS_SUPPORT_CONTRACT_WORLD_H
#define TESTS_SUPPORT_CONTRACT_WORLD_H

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "contract/contract.h"
#include "contract/record.h"

#define WORLD_VMS 5
#define WORLD_WORKS 64
#define WORLD_STEP_MS 20

/* Work that a VM owns, with the answer that its engine generates. */
typedef struct
{
  bool used;
  bool running;
  bool accepted;
  br_contract_id_t contract;
  br_contract_request_t request;
  br_answer_t answer;
  uint64_t attempt;
} world_work_t;

typedef struct
{
  br_name_t name;
  br_name_t domain;
  bool alive;
  bool frozen;
  uint64_t incarnation;
  br_contracts_t *contracts;
  world_work_t works[WORLD_WORKS];
} world_vm_t;

typedef struct
{
  int from;
  int to;
  uint64_t to_incarnation;
  br_ms_t due_ms;
  br_buf_t packed;
} world_packet_t;

BR_VEC (world_packets, world_packet_t);

typedef struct
{
  int n_vms;
  br_ms_t now;
  br_ms_t delay_ms;
  size_t tokens; /* of a complete answer */
  size_t prompt_bytes;
  uint64_t attempts;
  uint64_t generated;
  uint64_t bytes; /* sent between VMs */
  FILE *out;      /* receives a line for each action, or NULL */
  br_contract_options_t options;
  world_vm_t vms[WORLD_VMS];
  world_packets_t packets;
  /* Returns how many copies of a packet arrive, and sets the delay of each. */
  int (*disturb) (void *context, br_ms_t *late_ms);
  void *context;
} world_t;

static inline int
world_index (const world_t *world, const br_name_t *name)
{
  for (int i = 0; i < world->n_vms; i++)
    if (br_name_equal (&world->vms[i].name, name))
      return i;
  return -1;
}

static inline world_work_t *
world_find (world_t *world, int vm, const br_contract_id_t *contract)
{
  for (int i = 0; i < WORLD_WORKS; i++)
    {
      world_work_t *work = &world->vms[vm].works[i];

      if (work->used && br_contract_id_equal (&work->contract, contract))
        return work;
    }
  return NULL;
}

static inline world_work_t *
world_add (world_t *world, int vm, const br_contract_id_t *contract)
{
  world_work_t *work = world->vms[vm].works;

  while (work->used)
    work++;
  work->used = work->running = true;
  work->accepted = false;
  work->contract = *contract;
  work->attempt = ++world->attempts;
  return work;
}

static inline void
world_remove_work (world_work_t *work)
{
  br_contract_request_free (&work->request);
  br_answer_free (&work->answer);
  memset (work, 0, sizeof *work);
}

static inline void
world_print (world_t *world,
             int vm,
             const br_contract_action_t *action,
             const char *what)
{
  if (world->out == NULL)
    return;
  fprintf (world->out, "%" PRId64 " %s %s", world->now,
           world->vms[vm].name.data, what);
  if (action->kind == BR_CONTRACT_SEND)
    fprintf (world->out, " %s",
             br_contract_message_name (action->message.kind));
  fprintf (world->out, " contract=%" PRIu64, action->contract.number);
  if (action->vm.len > 0)
    fprintf (world->out, " vm=%s", action->vm.data);
  if (action->kind == BR_CONTRACT_SEND && action->message.epoch.number > 0)
    fprintf (world->out, " epoch=%" PRIu64 ".%s", action->message.epoch.number,
             action->message.epoch.owner.data);
  if (action->message.kind == BR_CONTRACT_CHECKPOINT)
    fprintf (world->out, " parts=%zu+%zu%s",
             action->message.checkpoint.slice.offset,
             action->message.checkpoint.slice.n_parts,
             action->message.checkpoint.complete ? " complete" : "");
  if (action->copy != NULL)
    fprintf (world->out, " parts=%zu", action->copy->answer.parts.len);
  if (action->kind == BR_CONTRACT_PROTECTED)
    fprintf (world->out, " after_ms=%" PRId64, action->after_ms);
  fprintf (world->out, "\n");
}

static inline void
world_send (world_t *world, int vm, const br_contract_action_t *action)
{
  br_ms_t late[2] = { 0, 0 };
  int to = world_index (world, &action->vm);
  int copies
      = world->disturb != NULL ? world->disturb (world->context, late) : 1;

  for (int i = 0; i < copies; i++)
    {
      world_packet_t packet;

      memset (&packet, 0, sizeof packet);
      packet.from = vm;
      packet.to = to;
      packet.to_incarnation = world->vms[to].incarnation;
      packet.due_ms = world->now + world->delay_ms + late[i];
      br_contract_message_pack (&action->message, &packet.packed);
      world->bytes += packet.packed.len;
      world_packets_push (&world->packets, packet);
    }
}

static inline void
world_take_over (world_t *world, int vm, const br_contract_action_t *action)
{
  world_work_t *work = world_add (world, vm, &action->contract);

  br_contract_request_copy (&work->request, &action->copy->request);
  br_answer_copy (&work->answer, &action->copy->answer);
  br_contract_copy_free (action->copy);
  work->accepted = true;
  br_contracts_adopt (world->vms[vm].contracts, &work->contract, &work->request,
                      &work->answer, 200, world->now);
}

static inline void
world_act (world_t *world, int vm, const br_contract_action_t *action)
{
  static const char *const names[]
      = { "send", "accepted", "protected", "take_over", "stop" };
  world_work_t *work = world_find (world, vm, &action->contract);

  world_print (world, vm, action, names[action->kind]);
  switch (action->kind)
    {
    case BR_CONTRACT_SEND:
      world_send (world, vm, action);
      break;
    case BR_CONTRACT_ACCEPTED:
      if (work != NULL)
        work->accepted = true;
      break;
    case BR_CONTRACT_PROTECTED:
      break;
    case BR_CONTRACT_TAKE_OVER:
      world_take_over (world, vm, action);
      break;
    case BR_CONTRACT_STOP:
      if (work != NULL)
        world_remove_work (work);
      break;
    }
}

static inline void
world_flush (world_t *world, int vm)
{
  br_contract_outbox_t *outbox = br_contracts_outbox (world->vms[vm].contracts);

  for (size_t i = 0; i < outbox->len; i++)
    {
      br_contract_action_t action = outbox->items[i];

      outbox->items[i].copy = NULL;
      world_act (world, vm, &action);
    }
  br_contract_outbox_clear (outbox);
}

static inline void
world_link (world_t *world, int vm, int peer, bool up)
{
  if (!world->vms[vm].alive)
    return;
  br_contracts_on_link (world->vms[vm].contracts, &world->vms[peer].name,
                        world->vms[peer].incarnation, up, world->now);
  world_flush (world, vm);
}

static inline void
world_start (world_t *world, int vm)
{
  world_vm_t *each = &world->vms[vm];
  br_contract_options_t options = world->options;

  each->incarnation++;
  each->alive = true;
  each->frozen = false;
  options.vm = each->name;
  options.failure_domain = each->domain;
  options.incarnation = each->incarnation;
  each->contracts = br_contracts_new (&options);
  for (int i = 0; i < world->n_vms; i++)
    if (i != vm)
      br_contracts_add_peer (each->contracts, &world->vms[i].name,
                             &world->vms[i].domain);
  for (int i = 0; i < world->n_vms; i++)
    if (i != vm && world->vms[i].alive && world->vms[i].contracts != NULL)
      {
        world_link (world, vm, i, true);
        world_link (world, i, vm, true);
      }
}

static inline void
world_crash (world_t *world, int vm)
{
  world_vm_t *each = &world->vms[vm];

  each->alive = false;
  for (int i = 0; i < WORLD_WORKS; i++)
    if (each->works[i].used)
      world_remove_work (&each->works[i]);
  br_contracts_free (each->contracts);
  each->contracts = NULL;
  for (int i = 0; i < world->n_vms; i++)
    if (i != vm)
      world_link (world, i, vm, false);
}

static inline void
world_accept (world_t *world, int vm, uint64_t number)
{
  br_contract_id_t contract;
  world_work_t *work;

  memset (&contract, 0, sizeof contract);
  contract.vm = world->vms[vm].name;
  contract.incarnation = world->vms[vm].incarnation;
  contract.number = number;
  work = world_add (world, vm, &contract);
  work->request.service = br_name_from ("contract-lm");
  work->request.streamed = true;
  br_buf_printf (&work->request.body, "prompt %" PRIu64, number);
  while (work->request.body.len < world->prompt_bytes)
    br_buf_append_char (&work->request.body, 'x');
  br_contracts_accept (world->vms[vm].contracts, &contract, &work->request,
                       &work->answer, world->now);
  world_flush (world, vm);
}

/* Generates one token.  It holds the number of the attempt, so that an answer
 * with tokens of several attempts can be recognised. */
static inline void
world_generate (world_t *world, int vm, world_work_t *work)
{
  char token[64];
  size_t index = work->answer.parts.len;

  snprintf (token, sizeof token, "%zu:%" PRIu64 " ", index, work->attempt);
  br_answer_add (&work->answer, index, BR_ANSWER_TEXT, br_str_from (token));
  world->generated++;
  work->answer.complete = index + 1 == world->tokens;
  br_contracts_on_answer (world->vms[vm].contracts, &work->contract, 200,
                          world->now);
  world_flush (world, vm);
}

static inline bool
world_is_up (const world_t *world, int vm)
{
  return world->vms[vm].alive && !world->vms[vm].frozen;
}

static inline void
world_deliver (world_t *world)
{
  for (size_t i = 0; i < world->packets.len; i++)
    {
      world_packet_t packet = world->packets.items[i];
      br_contract_message_t message;
      br_error_t err;

      if (packet.due_ms > world->now || world->vms[packet.to].frozen)
        continue;
      memmove (&world->packets.items[i], &world->packets.items[i + 1],
               (--world->packets.len - i) * sizeof packet);
      i--;
      if (world->vms[packet.to].alive
          && world->vms[packet.to].incarnation == packet.to_incarnation)
        {
          if (br_contract_message_unpack (br_buf_str (&packet.packed), "peer",
                                          &message, &err))
            br_contracts_on_message (world->vms[packet.to].contracts,
                                     &world->vms[packet.from].name, &message,
                                     world->now);
          br_contract_message_release (&message);
          world_flush (world, packet.to);
        }
      br_buf_free (&packet.packed);
    }
}

/* Advances the clock by one step: delivers packets, ticks all VMs and, if
 * GENERATE, generates one token for each unfinished answer. */
static inline void
world_step (world_t *world, bool generate)
{
  world->now += WORLD_STEP_MS;
  world_deliver (world);
  for (int vm = 0; vm < world->n_vms; vm++)
    {
      if (!world_is_up (world, vm))
        continue;
      br_contracts_on_tick (world->vms[vm].contracts, world->now);
      world_flush (world, vm);
      for (int i = 0; generate && i < WORLD_WORKS; i++)
        if (world->vms[vm].works[i].used
            && !world->vms[vm].works[i].answer.complete)
          world_generate (world, vm, &world->vms[vm].works[i]);
    }
  world_deliver (world);
}

static inline void
world_free (world_t *world)
{
  for (int vm = 0; vm < world->n_vms; vm++)
    if (world->vms[vm].alive)
      {
        for (int i = 0; i < WORLD_WORKS; i++)
          if (world->vms[vm].works[i].used)
            world_remove_work (&world->vms[vm].works[i]);
        br_contracts_free (world->vms[vm].contracts);
      }
  for (size_t i = 0; i < world->packets.len; i++)
    br_buf_free (&world->packets.items[i].packed);
  world_packets_free (&world->packets);
}

#endif
