package org.auburnstream.testkit.caller

import org.auburnstream.testkit.target.TargetBehaviour
import org.kohsuke.args4j.Option

/** Command line of a stand-in caller. */
internal class CallerFlags {
    @Option(name = "--port", required = true, usage = "Callers' port of a daemon on 127.0.0.1")
    var port: Int = 0

    @Option(name = "--path", required = true, usage = "Path with the service first")
    var path: String = "/"

    @Option(name = "--method", usage = "HTTP method")
    var method: String = "POST"

    @Option(name = "--body", usage = "Body of the request")
    var body: String = ""

    @Option(name = "--key", usage = "Idempotency key")
    var key: String? = null

    @Option(name = "--behaviour", usage = "Behaviour asked of the stand-in target")
    var behaviour: TargetBehaviour? = null

    @Option(name = "--expect", usage = "Expected result: answered, not-run or unknown")
    var expect: String = "answered"

    @Option(name = "--quiet", usage = "Print nothing")
    var quiet: Boolean = false

    fun toRequest(): CallerRequest = CallerRequest(path, method, body, key, behaviour = behaviour)
}
