/* ctl_kit.h - a site for mimosactl: the platform's stand-in and hosts that
   answer operators, all in the test's own event loop; mimosactl itself runs
   as a process beside it.

   Needs: platform_server.h, http_server.h, Criterion.  */

#ifndef MQ_CTL_KIT_H
#define MQ_CTL_KIT_H

#include "../standins/platform_server.h"
#include "net/http_server.h"

#define CTL_KIT_HOSTS_MAX 4
#define CTL_KIT_OPERATOR_KEY "kit-operator-key"

/**
 * struct ctl_kit_host - a host that answers operators
 * @name: its name in the list
 * @role: "entry" or "target"
 * @status: JSON object; "%llu" in it is replaced by the version it holds
 * @spans: JSON array
 * @version: configuration that it holds
 * @learns_version: see @learns
 * @server: kept by the kit
 * @learns: after this many status requests it holds @learns_version
 * @asked: status requests so far
 * @drained: drain orders so far
 * @leaving: as in the list
 * @gone: it is in the list, but nothing listens there
 */
struct ctl_kit_host
{
  const char *name;
  const char *role;
  const char *status;
  const char *spans;
  uint64_t version;
  uint64_t learns_version;
  struct mq_http_server *server;
  unsigned int learns;
  unsigned int asked;
  unsigned int drained;
  bool leaving;
  bool gone;
};

/**
 * struct ctl_kit - the site
 * @hosts: up to CTL_KIT_HOSTS_MAX, ended by one without a name
 * @step: called after each turn of the loop while mimosactl runs; may be
 *        NULL
 * @out: what mimosactl wrote to standard output
 * @err: what it wrote to standard error
 * @code: its exit status
 */
struct ctl_kit
{
  TALLOC_CTX *ctx;
  struct tevent_context *ev;
  struct mq_platform_server *platform;
  struct ctl_kit_host hosts[CTL_KIT_HOSTS_MAX + 1];
  void (*step) (struct ctl_kit *kit, void *user);
  void *user;
  char *out;
  char *err;
  int code;
};

struct ctl_kit *ctl_kit_create (const struct ctl_kit_host *hosts);
void ctl_kit_destroy (struct ctl_kit *kit);
/* Runs mimosactl with ARGUMENTS (NULL at the end), INPUT on its standard
   input (may be NULL), and the platform's address and the operators' key in
   its environment.  KIT may be without hosts.  */
void ctl_kit_run (struct ctl_kit *kit, const char *input,
                  const char *const *arguments);
/* The row of the configuration: its version, 0 when there is none; the text
   is copied to *TEXT when TEXT is not NULL.  */
uint64_t ctl_kit_config (struct ctl_kit *kit, char **text);
/* Writes the row as another operator would.  */
void ctl_kit_write_config (struct ctl_kit *kit, uint64_t version,
                           const char *text);

#endif
