#!/usr/bin/env node
import { run } from '../dist/src/scheduler/program.js'

await run(process.argv.slice(2))
