// fake_service: a backend server with a booking service, for tests.
#include <arpa/inet.h>
#include <curl/curl.h>
#include <getopt.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "desk.h"
#include "register.h"

struct main_opts {
	struct register_opts reg;
	struct desk_opts desk;
};

static const struct option main_options[] = {
	{"listen", required_argument, NULL, 'l'},
	{"id", required_argument, NULL, 'i'},
	{"domain", required_argument, NULL, 'd'},
	{"platform", required_argument, NULL, 'p'},
	{"service", required_argument, NULL, 's'},
	{"delay-ms", required_argument, NULL, 'w'},
	{"seed", required_argument, NULL, 'r'},
	{NULL, 0, NULL, 0},
};

static bool main_parse(int argc, char **argv, struct main_opts *o)
{
	int opt;

	while ((opt = getopt_long(argc, argv, "", main_options, NULL)) != -1) {
		switch (opt) {
		case 'l':
			o->reg.addr = optarg;
			break;
		case 'i':
			o->reg.id = optarg;
			break;
		case 'd':
			o->reg.domain = optarg;
			break;
		case 'p':
			o->reg.platform = optarg;
			break;
		case 's':
			o->reg.service = optarg;
			break;
		case 'w':
			o->desk.delay_ms = (int)strtol(optarg, NULL, 10);
			break;
		case 'r':
			o->desk.seed = (unsigned int)strtoul(optarg, NULL, 10);
			break;
		default:
			return false;
		}
	}
	o->desk.id = o->reg.id;
	return o->reg.addr && o->reg.id && o->reg.domain && o->reg.platform &&
	       o->reg.service;
}

static bool main_addr(const char *text, struct sockaddr_in *sa)
{
	char ip[64];
	const char *colon = strrchr(text, ':');

	if (!colon)
		return false;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

static struct MHD_Daemon *main_listen(const struct sockaddr_in *sa)
{
	return MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
		0, desk_accept, NULL, desk_handle, NULL, MHD_OPTION_SOCK_ADDR,
		sa, MHD_OPTION_NOTIFY_COMPLETED, desk_completed, NULL,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

int main(int argc, char **argv)
{
	struct main_opts o = {.desk = {.seed = 0}};
	struct sockaddr_in sa;
	struct MHD_Daemon *daemon;
	sigset_t set;
	int sig;

	if (!main_parse(argc, argv, &o) || !main_addr(o.reg.addr, &sa)) {
		fprintf(stderr,
			"usage: fake_service --listen IP:PORT --id ID --domain D --platform URL --service NAME [--delay-ms N] [--seed N]\n");
		return 2;
	}
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	desk_init(&o.desk);
	daemon = main_listen(&sa);
	if (!daemon) {
		fprintf(stderr, "fake_service: can't listen on %s\n",
			o.reg.addr);
		return 1;
	}
	if (!register_server(&o.reg)) {
		fprintf(stderr,
			"fake_service: the platform did not accept the registration\n");
		return 1;
	}
	sigwait(&set, &sig);
	_Exit(0);
}
