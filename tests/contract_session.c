/* Runs a script of commands against the contracts of several simulated VMs and
 * prints every message and action.
 *
 *   vm NAME DOMAIN          adds a VM, before `start`
 *   start                   starts all VMs
 *   at MS                   advances the clock to MS, without tokens
 *   accept VM NUMBER        VM accepts work
 *   token VM NUMBER N       N tokens are generated (8 complete an answer)
 *   down VM PEER, up VM PEER   the link from VM to PEER
 *   crash VM, restart VM, freeze VM, thaw VM, leave VM, hand_over VM
 *   drop                    drops all messages in transit
 *   duplicate               sends all messages in transit again, 500 ms later
 */
#include <stdlib.h>

#include "support/contract_world.h"

#define LINE_LEN 200
#define WORDS_MAX 4

static world_t world;

static int
session_vm (const char *name)
{
  br_name_t vm = br_name_from (name);
  int index = world_index (&world, &vm);

  if (index < 0)
    {
      fprintf (stderr, "no VM %s\n", name);
      exit (1);
    }
  return index;
}

static void
session_start (void)
{
  for (int i = 0; i < world.n_vms; i++)
    world_start (&world, i);
}

static void
session_advance (br_ms_t until)
{
  while (world.now < until)
    world_step (&world, false);
}

static void
session_tokens (int vm, uint64_t number, int n)
{
  for (int i = 0; i < WORLD_WORKS; i++)
    {
      world_work_t *work = &world.vms[vm].works[i];

      if (!work->used || work->contract.number != number)
        continue;
      for (int j = 0; j < n; j++)
        world_generate (&world, vm, work);
      return;
    }
  printf ("%" PRId64 " %s does not run %" PRIu64 "\n", world.now,
          world.vms[vm].name.data, number);
}

static void
session_drop (void)
{
  for (size_t i = 0; i < world.packets.len; i++)
    br_buf_free (&world.packets.items[i].packed);
  world_packets_clear (&world.packets);
}

static void
session_duplicate (void)
{
  size_t n = world.packets.len;

  for (size_t i = 0; i < n; i++)
    {
      world_packet_t packet = world.packets.items[i];

      packet.due_ms += 500;
      packet.packed = (br_buf_t){ 0 };
      br_buf_append (&packet.packed,
                     br_buf_str (&world.packets.items[i].packed));
      world_packets_push (&world.packets, packet);
    }
}

static void
session_vm_command (const char *command, int vm, char **words)
{
  world_vm_t *each = &world.vms[vm];

  if (strcmp (command, "accept") == 0)
    world_accept (&world, vm, strtoull (words[2], NULL, 10));
  else if (strcmp (command, "token") == 0)
    session_tokens (vm, strtoull (words[2], NULL, 10), atoi (words[3]));
  else if (strcmp (command, "down") == 0 || strcmp (command, "up") == 0)
    world_link (&world, vm, session_vm (words[2]), command[0] == 'u');
  else if (strcmp (command, "crash") == 0)
    world_crash (&world, vm);
  else if (strcmp (command, "restart") == 0)
    world_start (&world, vm);
  else if (strcmp (command, "freeze") == 0)
    each->frozen = true;
  else if (strcmp (command, "thaw") == 0)
    each->frozen = false;
  else if (strcmp (command, "leave") == 0)
    br_contracts_leave (each->contracts, world.now);
  else if (strcmp (command, "hand_over") == 0)
    br_contracts_hand_over (each->contracts, world.now);
  else
    fprintf (stderr, "unknown command %s\n", command);
  if (each->alive)
    world_flush (&world, vm);
}

static void
session_line (char *line)
{
  char *words[WORDS_MAX + 1] = { 0 };
  int n = 0;

  for (char *word = strtok (line, " \n"); word != NULL && n < WORDS_MAX;
       word = strtok (NULL, " \n"))
    words[n++] = word;
  if (n == 0 || words[0][0] == '#')
    return;
  if (strcmp (words[0], "vm") == 0)
    {
      world.vms[world.n_vms].name = br_name_from (words[1]);
      world.vms[world.n_vms++].domain = br_name_from (words[2]);
    }
  else if (strcmp (words[0], "start") == 0)
    session_start ();
  else if (strcmp (words[0], "at") == 0)
    session_advance (atoll (words[1]));
  else if (strcmp (words[0], "drop") == 0)
    session_drop ();
  else if (strcmp (words[0], "duplicate") == 0)
    session_duplicate ();
  else
    session_vm_command (words[0], session_vm (words[1]), words);
}

int
main (void)
{
  char line[LINE_LEN];

  world.out = stdout;
  world.tokens = 8;
  world.delay_ms = 4;
  world.options = br_contract_options ();
  world.options.checkpoint_parts = 4;
  world.options.sweep_ms = WORLD_STEP_MS;
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      if (line[0] != '\n' && line[0] != '#')
        printf ("> %s", line);
      session_line (line);
    }
  world_free (&world);
  return 0;
}
