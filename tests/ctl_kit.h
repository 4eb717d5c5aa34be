/* ctl_kit.h - a site for tests of mimosactl: a stand-in for the platform, and
   hosts with operators' HTTP, in the test's event loop.  mimosactl runs as a
   child process.

   Needs: platform_server.h, http_server.h, Criterion.  */

#ifndef MQ_CTL_KIT_H
#define MQ_CTL_KIT_H

#include "../standins/platform_server.h"
#include "net/http_server.h"

#define CTL_KIT_HOSTS_MAX 4
#define CTL_KIT_OPERATOR_KEY "kit-operator-key"

/**
 * struct ctl_kit_host - a host with operators' HTTP
 * @name: name in the host list
 * @role: "entry" or "target"
 * @status: JSON object; "%llu" in it is replaced by @version
 * @spans: JSON array
 * @version: configuration version
 * @learns_version: see @learns
 * @server: owned by the kit
 * @learns: number of status requests after which @version becomes
 *          @learns_version; 0 for never
 * @asked: status requests received
 * @drained: drain requests received
 * @leaving: listed as leaving
 * @gone: listed, but unreachable
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
 * @hosts: up to CTL_KIT_HOSTS_MAX, terminated by one without a name
 * @step: called after each event loop iteration while mimosactl runs; may be
 *        NULL
 * @out: standard output of mimosactl
 * @err: standard error of mimosactl
 * @code: exit status of mimosactl
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
/* Runs mimosactl with the NULL-terminated ARGUMENTS and INPUT on its standard
   input; INPUT may be NULL.  The environment has the platform's address and
   the operators' key file.  */
void ctl_kit_run (struct ctl_kit *kit, const char *input,
                  const char *const *arguments);
/* Returns the version in the configuration row, 0 if there is none; copies the
   text to TEXT unless that is NULL.  */
uint64_t ctl_kit_config (struct ctl_kit *kit, char **text);
/* Writes the configuration row, as another operator would.  */
void ctl_kit_write_config (struct ctl_kit *kit, uint64_t version,
                           const char *text);

#endif
