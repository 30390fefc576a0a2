/* The declarations in force, parsed from their JSON once for each revision:
 * services, organisations, workloads, labels and placements. */
#ifndef BR_ROUTE_CATALOG_H
#define BR_ROUTE_CATALOG_H

#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/label.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_SERVICE_MODEL, /* answered by model engines */
  BR_SERVICE_PLAIN, /* answered by plain services */
} br_service_kind_t;

/* X (id, name of the declaration's kind) */
#define BR_DECLARATION_TABLE(X)                                                \
  X (SERVICE, "service")                                                       \
  X (ORGANISATION, "organisation")                                             \
  X (WORKLOAD, "workload")                                                     \
  X (LABELS, "labels")                                                         \
  X (PLACEMENT, "placement")

typedef enum
{
#define X(id, name) BR_DECLARATION_##id,
  BR_DECLARATION_TABLE (X)
#undef X
      BR_DECLARATION_COUNT
} br_declaration_kind_t;

typedef struct
{
  br_name_t name;
  br_service_kind_t kind;
  br_selector_t upstreams; /* the upstreams that answer; owned */
  br_selector_t workloads; /* the workloads that may call; owned */
  bool repeatable;         /* false: a call runs at most once */
  int64_t retention_s;     /* how long the key of such a call is kept */
  br_ms_t first_token_ms;  /* latency target */
  br_ms_t token_gap_ms;    /* latency target */
} br_service_t;

typedef struct
{
  br_name_t name;
  br_selector_t workloads; /* the workloads that belong to it; owned */
  int64_t weight;
  int64_t requests_per_second; /* 0: no limit */
  int64_t in_flight;           /* 0: no limit */
} br_organisation_t;

/* A program of an organisation that calls with its own key. */
typedef struct
{
  br_name_t name;
  br_digest_t key_digest;
  br_labels_t labels; /* owned */
} br_workload_t;

/* Labels that the operators declared for a VM or an upstream. */
typedef struct
{
  br_name_t target;
  br_labels_t labels; /* owned */
} br_target_labels_t;

/* The number of VMs for a service, the VM offers that may be used, and the
 * share of reclaimable VMs. */
typedef struct
{
  br_name_t name;
  br_name_t service;
  br_selector_t vms; /* the VM offers that may be used; owned */
  int64_t minimum;
  int64_t maximum;
  int64_t reclaimable_percent;
} br_placement_t;

BR_VEC (br_services, br_service_t);
BR_VEC (br_organisations, br_organisation_t);
BR_VEC (br_workloads, br_workload_t);
BR_VEC (br_targets, br_target_labels_t);
BR_VEC (br_placements, br_placement_t);

typedef struct
{
  uint64_t revision;
  br_services_t services;
  br_organisations_t organisations;
  br_workloads_t workloads;
  br_targets_t targets;
  br_placements_t placements;
} br_catalog_t;

/* Checks the declaration in JSON and adds it.  On an error, CATALOG is not
 * changed and *ERR names the declaration and the field. */
bool br_catalog_add (br_catalog_t *catalog, br_str_t json, br_error_t *err);

/* Checks a whole declaration and returns its kind and name. */
bool br_catalog_check (br_str_t json,
                       br_declaration_kind_t *kind,
                       br_name_t *name,
                       br_error_t *err);
void br_catalog_release (br_catalog_t *catalog);
const char *br_declaration_kind_name (br_declaration_kind_t kind);
bool br_declaration_kind_parse (br_str_t text, br_declaration_kind_t *kind);

const br_service_t *br_catalog_service (const br_catalog_t *catalog,
                                        br_str_t name);

/* Returns the workload with this key, or NULL.  Compares with the keys of all
 * workloads, each in constant time. */
const br_workload_t *br_catalog_workload_by_key (const br_catalog_t *catalog,
                                                 br_str_t key);

/* Returns the organisation that WORKLOAD belongs to.  Returns NULL when none
 * matches, or when two match; *ERR then names both. */
const br_organisation_t *
br_catalog_organisation_of (const br_catalog_t *catalog,
                            const br_workload_t *workload,
                            br_error_t *err);

/* Adds the operators' labels for TARGET ("upstream/NAME" or "vm/NAME") to
 * LABELS. */
void br_catalog_labels_of (const br_catalog_t *catalog,
                           br_str_t target,
                           br_labels_t *labels);

BR_END_DECLS

#endif
