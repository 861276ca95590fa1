// A configuration like that of a small deployment: a desk, and one trainer's engines.
#pragma once

/* clang-format off */
#define LAB_CONF                                                               \
	"{\"version\":7,\"routes\":["                                          \
	"{\"name\":\"r-book\",\"host\":\"desk.example\",\"prefix\":\"/book/\"," \
	"\"kind\":\"idempotent\",\"timeout_ms\":1500,"                         \
	"\"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\","       \
	"\"max_attempts\":2,\"public\":false},"                                \
	"{\"name\":\"r-learn\",\"host\":\"learn.example\","                    \
	"\"prefix\":\"/learn/\",\"kind\":\"rollout\",\"timeout_ms\":10000,"    \
	"\"target_latency_ms\":400,\"priority\":1,\"service\":\"engines\","    \
	"\"max_attempts\":3,\"max_queue_s\":40.0,\"run_deadline_ms\":7500,"    \
	"\"single_version\":false,\"public\":false,\"sticky\":true,"           \
	"\"resumable\":true}],"                                                \
	"\"services\":[{\"name\":\"engines\",\"health_path\":\"/healthz\","    \
	"\"max_conns\":150,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,"  \
	"\"cold_per_s\":0.0,\"engine\":{\"slots\":12,\"kv_capacity\":110366,"  \
	"\"kv_bytes\":327680,\"link_mbps\":2900000.0,\"stride\":53,"           \
	"\"most\":12,\"models\":[{\"name\":\"m\"}]}},"                         \
	"{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":96,"    \
	"\"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,"                    \
	"\"cold_per_s\":0.0}],"                                                \
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"  \
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"               \
	"\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"key-of-alpha\"],"    \
	"\"priority\":1},{\"name\":\"beta\",\"api_keys\":[\"key-of-beta\"],"   \
	"\"priority\":1}]}"
/* clang-format on */
