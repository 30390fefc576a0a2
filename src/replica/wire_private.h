/* Conversions shared by wire.c and record.c. */
#ifndef BR_REPLICA_WIRE_PRIVATE_H
#define BR_REPLICA_WIRE_PRIVATE_H

#include "replica/replica.pb-c.h"
#include "replica/wire.h"

/* Returns a view of STR. */
ProtobufCBinaryData br_wire_bytes (br_str_t str);
br_buf_t br_wire_buf (ProtobufCBinaryData data);
void br_wire_append (br_buf_t *out, const ProtobufCMessage *message);

/* The names in it are views of CONFIG.  The caller releases it with
 * br_config_free_wire(). */
Br__Replica__Config *br_config_to_wire (const br_config_t *config);
void br_config_free_wire (Br__Replica__Config *wire);
bool br_config_from_wire (const Br__Replica__Config *wire, br_config_t *config);

/* Fills WIRE with views of ENTRY; PROPOSER must live as long as WIRE. */
void br_entry_to_wire (const br_entry_t *entry,
                       Br__Replica__Entry *wire,
                       Br__Replica__Proposer *proposer);
bool br_entry_from_wire (const Br__Replica__Entry *wire, br_entry_t *entry);

#endif
