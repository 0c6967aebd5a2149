#!/usr/bin/env node
import { run } from '../dist/src/entry/program.js'

await run(process.argv.slice(2))
